package wire

import (
	"errors"
	"fmt"
)

// Errors of malformed input that have no details.
var (
	// ErrTruncatedHeader reports that the input ends within a batch header.
	ErrTruncatedHeader = errors.New("the input ends within a header")
	// ErrTruncatedFrame reports that the input ends before the length that a header states.
	ErrTruncatedFrame = errors.New("the input ends within the frame")
	// ErrInvalidClock reports a batch whose clock is not a finite number.
	ErrInvalidClock = errors.New("the clock is no number")
	// ErrShortFrame reports a record that extends past the end of its frame.
	ErrTruncatedRecord = errors.New("the frame is too short")
	// ErrUnknownCode reports a record code that is not in the wire's description.
	ErrUnknownCode = errors.New("the code is not known")
	// ErrNoInstance reports an event before the record that says which instance it is for.
	ErrNoInstance = errors.New("no instance was named")
	// ErrNoClassesOrPlans reports settings with an empty list of classes or of plans.
	ErrNoClassesOrPlans = errors.New("settings: no classes or no packages")
)

// BatchError says which batch an error belongs to.
type BatchError struct {
	Seq uint32
	Err error
}

func (e *BatchError) Error() string { return fmt.Sprintf("batch %d: %v", e.Seq, e.Err) }

// Unwrap returns the cause.
func (e *BatchError) Unwrap() error { return e.Err }

// noCode stands for the code of a record that ends before it.
const noCode = -1

// RecordError says which record of a batch is malformed.
type RecordError struct {
	Index uint32 // counted from 0
	Code  int    // noCode if the frame ends before it
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

// LengthError is a frame's stated length that no frame can have.
type LengthError uint32

func (e LengthError) Error() string { return fmt.Sprintf("impossible length %d", uint32(e)) }

// TrailingBytesError is the number of bytes in a frame after its last record.
type TrailingBytesError int

func (e TrailingBytesError) Error() string {
	return fmt.Sprintf("%d bytes follow the last record", int(e))
}

// UnknownValueError reports a field whose value is not in the wire's description.
type UnknownValueError struct {
	Field string // availability, form or outcome
	Value uint8
}

func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("%s %d is not known", e.Field, e.Value)
}

// ListNumberError reports a number of an endpoint list that can't be defined.
type ListNumberError uint32

func (e ListNumberError) Error() string { return fmt.Sprintf("list number %d is too high", uint32(e)) }

// UndefinedListError reports a reference to an endpoint list that has not been defined.
type UndefinedListError uint32

func (e UndefinedListError) Error() string { return fmt.Sprintf("list %d was not defined", uint32(e)) }

// UnknownNameError reports a word in the settings that is not in the wire's description.
type UnknownNameError struct {
	Setting string // effect or key scope
	Name    string
}

func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("settings: %s %q is not known", e.Setting, e.Name)
}
