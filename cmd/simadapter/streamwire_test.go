package main

import (
	"encoding/binary"
	"math"
)

// Record codes of the wire, with the statuses and forms that the generator uses.
const (
	eventStartInstance, eventEndpointUpdate, eventRequest, eventResponseStarted, eventAttemptEnd    = 16, 17, 18, 19, 20
	eventClientDisconnected, eventTimerFired, eventProbeResult, eventPeerMessage, eventStopInstance = 21, 22, 23, 24, 25
	eventCounterReply, eventDefineEndpointList, eventInstanceEvents                                 = 26, 27, 28

	actionProbe, actionCancelAttempt, actionSetTimer, actionCounterAdd, actionReject = 80, 81, 82, 85, 86
	actionInstanceActions, actionPollEndpoints, actionFailRequest, actionSendAttempt = 87, 88, 89, 91

	statusServed, statusFailed, statusRejected, statusTimeout, statusConnectFailed = 0, 255, 254, 253, 252
	statusReset, statusCancelled, statusNotSent                                    = 251, 250, 249

	listFull, listDelta, listCached, listFailed = 0, 1, 2, 3
	stateRemoved, stateReady, stateDraining     = 0, 1, 2

	flagRetry         = 2
	countedHeaderSize = 8  // bytes of a batch header that the length counts
	maxEndpointLists  = 16 // lists that can be in use at a time
)

// provesNotExecuted tells whether a status proves that an attempt had no effect.
func provesNotExecuted(status uint8) bool {
	return status == statusRejected || status == statusConnectFailed || status == statusNotSent
}

// recordWriter builds the records of one instance in a batch.
type recordWriter struct {
	data    []byte
	records uint32
}

func (f *recordWriter) begin(code uint8) { f.data, f.records = append(f.data, code), f.records+1 }

func (f *recordWriter) u8(v uint8) { f.data = append(f.data, v) }

func (f *recordWriter) u16(v int) { f.data = binary.BigEndian.AppendUint16(f.data, uint16(v)) }

func (f *recordWriter) u32(v uint32) { f.data = binary.BigEndian.AppendUint32(f.data, v) }

func (f *recordWriter) u64(v uint64) { f.data = binary.BigEndian.AppendUint64(f.data, v) }

func (f *recordWriter) f64(v float64) { f.u64(math.Float64bits(v)) }

func (f *recordWriter) f32(v float64) { f.u32(math.Float32bits(float32(v))) }

// replyReader takes fields from a reply; a reply that is too short panics, which fails the test.
type replyReader []byte

func (r *replyReader) number(n int) (v uint64) {
	for _, b := range (*r)[:n] {
		v = v<<8 | uint64(b)
	}
	*r = (*r)[n:]
	return v
}

func (r *replyReader) u8() uint8 { return uint8(r.number(1)) }

func (r *replyReader) u32() uint32 { return uint32(r.number(4)) }

func (r *replyReader) f64() float64 { return math.Float64frombits(r.number(8)) }

func (r *replyReader) f32() float64 { return float64(math.Float32frombits(r.u32())) }
