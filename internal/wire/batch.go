// Package wire translates between the simulator's binary frames and the events and actions of package
// policy, and parses the settings of a deployment. It converts names and units and makes no decisions.
//
// The specification of the simulator's protocol uses terms of its own. Only this package translates these terms to
// those of package policy. The terms occur as JSON keys in settings.go, as values of settings in settingsmap.go and
// as record names in the comments of codes.go.
//
// An instance is one simulated gateway. A batch is a frame with all events of one moment, for any number of
// instances. The reply to a batch is one frame with the actions of these instances.
package wire

import (
	"encoding/binary"
	"errors"
	"io"
	"math"

	"amberlb/policy"
)

const (
	batchHeaderSize   = 20      // size in bytes of a batch header: clock, length, number of records and sequence number
	countedHeaderSize = 8       // bytes of the header fields that the length includes: number of records, sequence number
	maxFrameSize      = 1 << 30 // largest accepted value of the length field, in bytes
	bodyReadStep      = 1 << 20 // number of bytes that readBody allocates and reads at a time
)

// InstanceStart holds the parameters with which an instance is started.
type InstanceStart struct {
	Seed     uint64 // seed of the instance's random number generator
	Settings policy.Settings
}

// Record starts one instance, stops it or delivers an event to it. Exactly one of Start, Stop and Event is set.
type Record struct {
	Instance uint32
	Start    *InstanceStart
	Stop     bool
	Event    policy.Event
}

// Batch holds the records of all instances for one moment.
type Batch struct {
	Now     float64 // clock time in seconds
	Seq     uint32  // sequence number, which the reply repeats
	Records []Record
}

// Decoder reads batches. It stores the endpoint lists that batches define. Later records of the same batch and of
// later batches refer to a list by its number. Decoders are created by NewDecoder.
type Decoder struct {
	reader        io.Reader
	body          []byte // body of the current frame; the buffer is reused
	endpointLists [maxEndpointLists]endpointList
}

// NewDecoder returns a Decoder that reads frames from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{reader: r} }

// Next reads one batch. It returns io.EOF if the input ends between frames, ErrTruncatedHeader if it ends
// within a header, and a *BatchError for any other malformed input.
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

// readRecords validates the fields of a header, then reads and decodes the records that follow the header.
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

// readBody reads n bytes; the returned slice is valid until the next call. The buffer grows by bodyReadStep as
// data arrives, so that a malformed length can't cause an allocation far larger than the input.
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
