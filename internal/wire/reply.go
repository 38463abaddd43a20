package wire

import (
	"encoding/binary"
	"fmt"
	"math"

	"amberlb/policy"
)

const (
	replyHeaderSize = 12 // size in bytes of a reply header: length, number of records and sequence number
	replyLengthSize = 4  // size in bytes of the length field; the length counts the bytes after that field
	pollOn          = 1  // value that subscribes, in the field of a codePollEndpoints record
)

// Reply encodes the actions of all instances in response to one batch. Reset must be called before any other
// method.
type Reply struct {
	buf         []byte
	recordCount uint32
}

// Reset begins an empty reply to the batch with the sequence number seq.
func (r *Reply) Reset(seq uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeaderSize)...)
	binary.BigEndian.PutUint32(r.buf[8:], seq)
	r.recordCount = 0
}

// Add appends the actions of one instance. It returns an error if the protocol has no record for an action.
func (r *Reply) Add(instance uint32, actions []policy.Action) error {
	if len(actions) == 0 {
		return nil
	}
	r.beginRecord(codeInstanceActions)
	r.u32(instance)
	for _, action := range actions {
		if err := r.encodeAction(action); err != nil {
			return err
		}
	}
	return nil
}

// Bytes returns the complete frame, which is valid until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buf[0:], uint32(len(r.buf)-replyLengthSize))
	binary.BigEndian.PutUint32(r.buf[4:], r.recordCount)
	return r.buf
}

// encodeAction appends the record of one action, with its fields in the order that the protocol defines.
func (r *Reply) encodeAction(action policy.Action) error {
	switch a := action.(type) {
	case policy.SendAttempt:
		r.beginRecord(codeSendAttempt)
		r.u32(uint32(a.Request))
		r.f64(a.Timeout)
		r.u32(uint32(a.Backend))
	case policy.CancelAttempt:
		r.beginRecord(codeCancelAttempt)
		r.u32(uint32(a.Request))
		r.u8(uint8(a.Attempt))
	case policy.Reject:
		r.beginRecord(codeRejectRequest)
		r.u32(uint32(a.Request))
		r.f64(a.RetryAfter)
	case policy.FailRequest:
		r.beginRecord(codeFailRequest)
		r.u32(uint32(a.Request))
	case policy.SetTimer:
		r.beginRecord(codeSetTimer)
		r.f64(a.Delay)
		r.u64(a.Token)
	case policy.CounterAdd:
		r.beginRecord(codeCounterAdd)
		r.u64(a.Name)
		r.f32(a.Amount)
		r.f64(a.TTL)
	case policy.Probe:
		r.beginRecord(codeProbe)
		r.u32(uint32(a.Backend))
	case policy.PollEndpoints:
		r.beginRecord(codePollEndpoints)
		r.u8(pollOn)
	case policy.Log:
		r.beginRecord(codeLog)
		r.text(a.Text)
	default:
		return fmt.Errorf("the protocol has no record for the action %T", a)
	}
	return nil
}

// beginRecord appends the code of a record; the caller appends its fields.
func (r *Reply) beginRecord(code uint8) {
	r.u8(code)
	r.recordCount++
}

func (r *Reply) u8(v uint8)    { r.buf = append(r.buf, v) }
func (r *Reply) u32(v uint32)  { r.buf = binary.BigEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64)  { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
func (r *Reply) f32(v float64) { r.u32(math.Float32bits(float32(v))) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

// text appends the length of s as 16 bits, then s itself. It cuts s to the longest length that 16 bits can express.
func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(s)))
	r.buf = append(r.buf, s...)
}
