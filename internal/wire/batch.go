// Package wire translates between the simulator's binary frames and the events and actions of package
// policy, and reads the settings of a deployment. It maps names and units and decides nothing. The words of
// the wire's description are known here alone: as the keys in settings.go and in the comments of codes.go.
package wire

import (
	"encoding/binary"
	"errors"
	"io"
	"math"

	"amberlb/policy"
)

const (
	batchHeaderSize   = 20      // bytes: clock, length, number of records, sequence number
	countedHeaderSize = 8       // bytes of the header that the length counts
	maxFrameSize      = 1 << 30 // the largest length that is accepted
	bodyReadStep      = 1 << 20 // bytes by which the buffer of a frame grows
)

// InstanceStart starts an instance.
type InstanceStart struct {
	Seed     uint64 // of its random numbers
	Settings policy.Settings
}

// Record is one event for one instance. Exactly one of Start, Stop and Event is set.
type Record struct {
	Instance uint32
	Start    *InstanceStart
	Stop     bool
	Event    policy.Event
}

// Batch is all that happens at one moment.
type Batch struct {
	Now     float64 // clock time in seconds
	Seq     uint32  // returned in the reply
	Records []Record
}

// Decoder reads batches. It keeps the numbered endpoint lists that batches refer to. NewDecoder makes one.
type Decoder struct {
	reader        io.Reader
	body          []byte // of the current frame; reused
	endpointLists [maxEndpointLists]endpointList
}

// NewDecoder returns a decoder of the frames in r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: r} }

// Next reads one batch. It returns io.EOF where the input ends between frames, ErrTruncatedHeader where it
// ends within a header, and a BatchError for any other malformed input.
func (d *Decoder) Next() (Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(d.reader, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, ErrTruncatedHeader
		}
		return Batch{}, err
	}
	batch := Batch{
		Now: math.Float64frombits(binary.BigEndian.Uint64(header[0:])),
		Seq: binary.BigEndian.Uint32(header[16:]),
	}
	length := binary.BigEndian.Uint32(header[8:])
	count := binary.BigEndian.Uint32(header[12:])
	var err error
	batch.Records, err = d.readRecords(batch.Now, length, count)
	if err != nil {
		return batch, &BatchError{batch.Seq, err}
	}
	return batch, nil
}

// readRecords checks the fields of a header and reads and decodes the records that follow it.
func (d *Decoder) readRecords(now float64, length, count uint32) ([]Record, error) {
	if length < countedHeaderSize || length > maxFrameSize {
		return nil, LengthError(length)
	}
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return nil, ErrInvalidClock
	}
	body, err := d.readBody(int(length) - countedHeaderSize)
	if err != nil {
		return nil, ErrTruncatedFrame
	}
	return d.decodeRecords(body, count)
}

// readBody reads n bytes, which are valid until the next call. It grows the buffer only as they arrive, so
// that a malformed length allocates no more than the input holds.
func (d *Decoder) readBody(n int) ([]byte, error) {
	d.body = d.body[:0]
	for len(d.body) < n {
		offset := len(d.body)
		size := min(bodyReadStep, n-offset)
		d.body = append(d.body, make([]byte, size)...)
		if _, err := io.ReadFull(d.reader, d.body[offset:]); err != nil {
			return nil, err
		}
	}
	return d.body, nil
}
