package wire

import (
	"errors"
	"fmt"
)

// Errors for malformed input that carry no values.
var (
	// ErrTruncatedHeader reports input that ends within the header of a batch.
	ErrTruncatedHeader = errors.New("the input ends within a batch header")
	// ErrTruncatedFrame reports input that ends before the end of a frame, as given by the length in its header.
	ErrTruncatedFrame = errors.New("the input ends within the frame")
	// ErrInvalidClock reports a batch whose clock time is NaN or infinite.
	ErrInvalidClock = errors.New("the clock time is not a finite number")
	// ErrTruncatedRecord reports a record that extends past the end of its frame.
	ErrTruncatedRecord = errors.New("the record extends past the end of the frame")
	// ErrUnknownCode reports a record code that the protocol does not define.
	ErrUnknownCode = errors.New("unknown record code")
	// ErrNoInstance reports a record without an earlier record of the same batch that names an instance.
	ErrNoInstance = errors.New("no earlier record of the batch names an instance")
	// ErrNoClassesOrPlans reports settings with no classes or no plans. The setting "packages" lists the plans.
	ErrNoClassesOrPlans = errors.New("settings: classes or packages is missing or empty")
)

// BatchError reports which batch is malformed.
type BatchError struct {
	Seq uint32
	Err error
}

func (e *BatchError) Error() string { return fmt.Sprintf("batch %d: %v", e.Seq, e.Err) }

// Unwrap returns the cause.
func (e *BatchError) Unwrap() error { return e.Err }

// noCode is the value of RecordError.Code if the frame ends before the record's code.
const noCode = -1

// RecordError reports which record of a batch is malformed.
type RecordError struct {
	Index uint32 // index of the record in the batch, from 0
	Code  int    // code of the record, or noCode
	Err   error
}

func (e *RecordError) Error() string {
	if e.Code == noCode {
		return fmt.Sprintf("record %d: %v", e.Index, e.Err)
	}
	return fmt.Sprintf("record %d (code %d): %v", e.Index, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// LengthError reports a frame length below countedHeaderSize or above maxFrameSize.
type LengthError uint32

func (e LengthError) Error() string { return fmt.Sprintf("invalid frame length %d", uint32(e)) }

// TrailingBytesError reports the number of bytes that follow the last record of a frame.
type TrailingBytesError int

func (e TrailingBytesError) Error() string {
	return fmt.Sprintf("%d bytes follow the last record", int(e))
}

// UnknownValueError reports a field of a record with a value that the protocol does not define.
type UnknownValueError struct {
	Field string // availability, form or outcome
	Value uint8
}

func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("unknown %s %d", e.Field, e.Value)
}

// ListNumberError reports the definition of an endpoint list under a number that is too high.
type ListNumberError uint32

func (e ListNumberError) Error() string {
	return fmt.Sprintf("endpoint list number %d is too high", uint32(e))
}

// UndefinedListError reports a reference to an endpoint list that has not been defined.
type UndefinedListError uint32

func (e UndefinedListError) Error() string {
	return fmt.Sprintf("endpoint list %d is not defined", uint32(e))
}

// UnknownNameError reports a setting whose value is not one of the names defined for it.
type UnknownNameError struct {
	Setting string // effect or keyScope
	Name    string
}

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("settings: unknown %s %q", e.Setting, e.Name)
}
