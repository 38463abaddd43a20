// Package wire translates between the simulator's binary frames and the events
// and actions of package policy. It changes words and units and decides nothing.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"amberlb/policy"
)

// Codes of the records in a batch.
const (
	codeStartInstance      = 16
	codeEndpointUpdate     = 17
	codeRequest            = 18
	codeConnected          = 19
	codeAttemptEnd         = 20
	codeClientDisconnected = 21
	codeTimerFired         = 22
	codeProbeResult        = 23
	codePeerMessage        = 24
	codeStopInstance       = 25
	codeCounterReply       = 26
	codeDefineEndpointList = 27
	codeInstanceEvents     = 28
)

const (
	batchHeaderSize   = 20      // bytes: clock, length, records, number
	countedHeaderSize = 8       // bytes of the header that the length counts
	maxFrameSize      = 1 << 30 // a longer frame is taken for a broken one
	endpointSize      = 22      // bytes of one entry of a list
	maxEndpointLists  = 16      // lists that can be in use at a time
	flagRetry         = 2
)

// InstanceStart is the Attach of an instance.
type InstanceStart struct {
	Seed     uint64
	Settings policy.Settings
}

// Record is one event for one instance. Exactly one of Start, Stop and Event
// is set.
type Record struct {
	Instance uint32
	Start    *InstanceStart
	Stop     bool
	Event    policy.Event
}

// Batch is all that happens at one moment.
type Batch struct {
	Now     float64
	Seq     uint32
	Records []Record
}

// Decoder reads batches. It keeps the numbered lists that batches refer to.
type Decoder struct {
	reader        io.Reader
	body          []byte
	endpointLists [maxEndpointLists][]policy.Backend
	defined       [maxEndpointLists]bool
}

// NewDecoder returns a decoder of the frames in r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: r} }

// Next reads one batch. It returns io.EOF where the input ends between frames.
func (d *Decoder) Next() (Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(d.reader, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, errors.New("the input ends within a header")
		}
		return Batch{}, err
	}
	batch := Batch{Now: math.Float64frombits(binary.BigEndian.Uint64(header[0:])),
		Seq: binary.BigEndian.Uint32(header[16:])}
	length := binary.BigEndian.Uint32(header[8:])
	count := binary.BigEndian.Uint32(header[12:])
	if length < countedHeaderSize || length > maxFrameSize {
		return batch, fmt.Errorf("batch %d: impossible length %d", batch.Seq, length)
	}
	if math.IsNaN(batch.Now) || math.IsInf(batch.Now, 0) {
		return batch, fmt.Errorf("batch %d: the clock is no number", batch.Seq)
	}
	body, err := d.readBody(int(length) - countedHeaderSize)
	if err != nil {
		return batch, fmt.Errorf("batch %d: the input ends within the frame", batch.Seq)
	}
	batch.Records, err = d.decodeRecords(body, count)
	if err != nil {
		return batch, fmt.Errorf("batch %d: %w", batch.Seq, err)
	}
	return batch, nil
}

// readBody takes n bytes, growing the buffer only as they arrive.
func (d *Decoder) readBody(n int) ([]byte, error) {
	const step = 1 << 20
	d.body = d.body[:0]
	for len(d.body) < n {
		offset, size := len(d.body), min(step, n-len(d.body))
		d.body = append(d.body, make([]byte, size)...)
		if _, err := io.ReadFull(d.reader, d.body[offset:]); err != nil {
			return nil, err
		}
	}
	return d.body, nil
}

func (d *Decoder) decodeRecords(body []byte, count uint32) ([]Record, error) {
	c := &cursor{remaining: body}
	var decoded []Record
	var instance uint32
	instanceNamed := false
	for i := range count {
		code := c.u8()
		if c.truncated {
			return nil, fmt.Errorf("record %d: the frame is too short", i)
		}
		rec, err := d.decodeRecord(c, code)
		switch {
		case c.truncated:
			return nil, fmt.Errorf("record %d (code %d): the frame is too short", i, code)
		case err != nil:
			return nil, fmt.Errorf("record %d (code %d): %w", i, code, err)
		case code == codeInstanceEvents:
			instance, instanceNamed = rec.Instance, true
		case code == codeDefineEndpointList:
		case !instanceNamed:
			return nil, fmt.Errorf("record %d (code %d): no instance was named", i, code)
		default:
			rec.Instance = instance
			decoded = append(decoded, rec)
		}
	}
	if len(c.remaining) > 0 {
		return nil, fmt.Errorf("%d bytes follow the last record", len(c.remaining))
	}
	return decoded, nil
}

func (d *Decoder) decodeRecord(c *cursor, code uint8) (Record, error) {
	switch code {
	case codeInstanceEvents:
		return Record{Instance: c.u32()}, nil
	case codeDefineEndpointList:
		return Record{}, d.defineEndpointList(c)
	case codeStartInstance:
		seed := c.u64()
		text := c.take(int(c.u32()))
		if c.truncated {
			return Record{}, nil
		}
		s, err := ParseSettings(text)
		return Record{Start: &InstanceStart{Seed: seed, Settings: s}}, err
	case codeStopInstance:
		return Record{Stop: true}, nil
	case codeEndpointUpdate:
		ev, err := d.decodeEndpointUpdate(c)
		return Record{Event: ev}, err
	}
	ev, err := c.decodeEvent(code)
	return Record{Event: ev}, err
}

func (d *Decoder) defineEndpointList(c *cursor) error {
	list, n := c.u32(), c.u32()
	if list >= maxEndpointLists {
		return fmt.Errorf("list number %d is too high", list)
	}
	if uint64(n)*endpointSize > uint64(len(c.remaining)) {
		c.truncated = true
		return nil
	}
	entries := make([]policy.Backend, n)
	for i := range entries {
		entries[i] = policy.Backend{ID: policy.BackendID(c.u32()), Zone: int(c.u8()), Kind: int(c.u16()),
			Cell: int(c.u16())}
		switch state := c.u8(); state {
		case 0:
			entries[i].State = policy.Removed
		case 1:
			entries[i].State = policy.Ready
		case 2:
			entries[i].State = policy.Draining
		default:
			return fmt.Errorf("availability %d is not known", state)
		}
		entries[i].Weight, entries[i].StartedAt = c.f32(), c.f64()
	}
	d.endpointLists[list], d.defined[list] = entries, true
	return nil
}

func (d *Decoder) decodeEndpointUpdate(c *cursor) (policy.Event, error) {
	kindCode := c.u8()
	c.u32() // revision: changes come in order and none is missing
	list := c.u32()
	if c.truncated {
		return nil, nil
	}
	kind, known := map[uint8]policy.ListKind{0: policy.FullList, 1: policy.Delta, 2: policy.CachedList,
		3: policy.ListFailed}[kindCode]
	if !known {
		return nil, fmt.Errorf("form %d is not known", kindCode)
	}
	if kind == policy.ListFailed {
		return policy.EndpointsUpdated{Kind: kind}, nil
	}
	if list >= maxEndpointLists || !d.defined[list] {
		return nil, fmt.Errorf("list %d was not defined", list)
	}
	return policy.EndpointsUpdated{Kind: kind, Entries: d.endpointLists[list]}, nil
}

// outcomesByCode maps the codes of the wire; the missing ones are errors.
var outcomesByCode = map[uint8]policy.Outcome{0: policy.Served, 255: policy.Failed, 254: policy.Rejected,
	253: policy.TimedOut, 252: policy.ConnectFailed, 251: policy.ConnectionReset, 250: policy.Cancelled, 249: policy.NotSent}

// decodeEvent reads the fields of an event that needs nothing but the record.
func (c *cursor) decodeEvent(code uint8) (policy.Event, error) {
	switch code {
	case codeRequest:
		return c.decodeRequest(), nil
	case codeConnected:
		e := policy.ResponseStarted{Request: policy.RequestID(c.u32()), Backend: policy.BackendID(c.u32())}
		e.Latency, e.Attempt = c.f64(), int(c.u8())
		return e, nil
	case codeAttemptEnd:
		return c.decodeAttemptEnd()
	case codeClientDisconnected:
		return policy.ClientDisconnected{Request: policy.RequestID(c.u32())}, nil
	case codeTimerFired:
		return policy.TimerFired{Token: c.u64()}, nil
	case codeProbeResult:
		e := policy.Probed{Backend: policy.BackendID(c.u32())}
		var err error
		e.Outcome, err = c.decodeOutcome()
		e.Latency, e.LoadReport = c.f64(), c.decodeLoadReport()
		return e, err
	case codePeerMessage:
		from := int(c.u32())
		return policy.PeerMessage{From: from, Data: append([]byte(nil), c.take(int(c.u16()))...)}, nil
	case codeCounterReply:
		e := policy.CounterReply{Name: c.u64()}
		var err error
		e.Outcome, err = c.decodeOutcome()
		e.Total, e.Latency = c.f32(), c.f64()
		return e, err
	}
	return nil, errors.New("the code is not known")
}

func (c *cursor) decodeRequest() policy.Event {
	r := policy.Request{ID: policy.RequestID(c.u32()), FirstGateway: int(c.f32()), Plan: int(c.u16()),
		Customer: policy.CustomerID(c.u64()), Gateways: int(c.f32()), Units: c.f32()}
	r.IsRetry = c.u8()&flagRetry != 0
	r.Class, r.Deadline = int(c.u16()), c.f64()
	return r
}

func (c *cursor) decodeAttemptEnd() (policy.Event, error) {
	e := policy.AttemptEnded{Request: policy.RequestID(c.u32()), Attempt: int(c.u8()),
		Backend: policy.BackendID(c.u32())}
	var err error
	e.Outcome, err = c.decodeOutcome()
	e.Latency, e.RequestOver = c.f64(), c.u8() != 0
	e.QuotaUse, e.ActualUnits = int(c.u16()), float64(c.u16())
	e.LoadReport = c.decodeLoadReport()
	return e, err
}

func (c *cursor) decodeOutcome() (policy.Outcome, error) {
	code := c.u8()
	o, known := outcomesByCode[code]
	if !known && !c.truncated {
		return o, fmt.Errorf("outcome %d is not known", code)
	}
	return o, nil
}

func (c *cursor) decodeLoadReport() []float64 {
	n := int(c.u8())
	if n == 0 || n*4 > len(c.remaining) {
		c.truncated = c.truncated || n > 0
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = c.f32()
	}
	return out
}

// cursor walks over the fields of a frame. Past the end it reads zeros and
// notes that the frame was short.
type cursor struct {
	remaining []byte
	truncated bool
}

func (c *cursor) take(n int) []byte {
	if n < 0 || n > len(c.remaining) {
		c.truncated, c.remaining = true, nil
		return nil
	}
	out := c.remaining[:n]
	c.remaining = c.remaining[n:]
	return out
}

func (c *cursor) bigEndian(n int) uint64 {
	var v uint64
	for _, b := range c.take(n) {
		v = v<<8 | uint64(b)
	}
	return v
}

func (c *cursor) u8() uint8    { return uint8(c.bigEndian(1)) }
func (c *cursor) u16() uint16  { return uint16(c.bigEndian(2)) }
func (c *cursor) u32() uint32  { return uint32(c.bigEndian(4)) }
func (c *cursor) u64() uint64  { return c.bigEndian(8) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }
func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }
