package main

import (
	"encoding/binary"
	"math"
)

// Codes of the records in a batch, which package wire does not export.
const (
	eventStartInstance      = 16
	eventEndpointUpdate     = 17
	eventRequest            = 18
	eventResponseStarted    = 19
	eventAttemptEnd         = 20
	eventClientDisconnected = 21
	eventTimerFired         = 22
	eventProbeResult        = 23
	eventPeerMessage        = 24
	eventStopInstance       = 25
	eventCounterReply       = 26
	eventDefineEndpointList = 27
	eventInstanceEvents     = 28
)

// Codes of the records in a reply.
const (
	actionProbe           = 80
	actionCancelAttempt   = 81
	actionSetTimer        = 82
	actionCounterAdd      = 85
	actionReject          = 86
	actionInstanceActions = 87
	actionPollEndpoints   = 88
	actionFailRequest     = 89
	actionSendAttempt     = 91
)

// Statuses of attempts, probes and counter calls.
const (
	statusServed        = 0
	statusNotSent       = 249
	statusCancelled     = 250
	statusReset         = 251
	statusConnectFailed = 252
	statusTimeout       = 253
	statusRejected      = 254
	statusFailed        = 255
)

// Forms of an endpoint update.
const (
	listFull   = 0
	listDelta  = 1
	listCached = 2
	listFailed = 3
)

// States of a backend in a list.
const (
	stateRemoved  = 0
	stateReady    = 1
	stateDraining = 2
)

const (
	flagRetry         = 2  // bit in a request's flags that marks the request as a client's retry
	countedHeaderSize = 8  // bytes of a batch header that are included in the length
	maxEndpointLists  = 16 // number of endpoint lists that can be defined at the same time
	replyLengthSize   = 4  // bytes of a reply's length field; the length counts the bytes after that field
)

// provesNotExecuted reports whether a status proves that the backend did not execute the attempt.
func provesNotExecuted(status uint8) bool {
	return status == statusRejected || status == statusConnectFailed || status == statusNotSent
}

// recordWriter appends records and their fields, which are big-endian and not padded.
type recordWriter struct {
	data    []byte
	records uint32 // number of records in data
}

// begin appends the code of a record; the caller appends its fields.
func (w *recordWriter) begin(code uint8) {
	w.u8(code)
	w.records++
}

// appendRecords appends the records of another writer.
func (w *recordWriter) appendRecords(other *recordWriter) {
	w.data = append(w.data, other.data...)
	w.records += other.records
}

// reset empties the writer but keeps its buffer.
func (w *recordWriter) reset() {
	w.data = w.data[:0]
	w.records = 0
}

func (w *recordWriter) u8(v uint8)    { w.data = append(w.data, v) }
func (w *recordWriter) u16(v int)     { w.data = binary.BigEndian.AppendUint16(w.data, uint16(v)) }
func (w *recordWriter) u32(v uint32)  { w.data = binary.BigEndian.AppendUint32(w.data, v) }
func (w *recordWriter) u64(v uint64)  { w.data = binary.BigEndian.AppendUint64(w.data, v) }
func (w *recordWriter) f64(v float64) { w.u64(math.Float64bits(v)) }
func (w *recordWriter) f32(v float64) { w.u32(math.Float32bits(float32(v))) }

// flag writes one byte. The byte is the value of the parameter "bit" if the flag is set, else 0.
func (w *recordWriter) flag(set bool, bit uint8) {
	if !set {
		bit = 0
	}
	w.u8(bit)
}

// replyReader reads the fields of a reply. It panics if the reply is too short, which fails the test.
type replyReader []byte

// unsigned reads an unsigned integer of n bytes.
func (r *replyReader) unsigned(n int) (v uint64) {
	for _, b := range (*r)[:n] {
		v = v<<8 | uint64(b)
	}
	*r = (*r)[n:]
	return v
}

func (r *replyReader) u8() uint8    { return uint8(r.unsigned(1)) }
func (r *replyReader) u32() uint32  { return uint32(r.unsigned(4)) }
func (r *replyReader) u64() uint64  { return r.unsigned(8) }
func (r *replyReader) f64() float64 { return math.Float64frombits(r.u64()) }
func (r *replyReader) f32() float64 { return float64(math.Float32frombits(r.u32())) }
