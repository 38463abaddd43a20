package gateway

import (
	"context"
	"errors"
	"io"
	"time"
)

// maxResponseHeadMemory is the memory of the largest head of a response that is read.
const maxResponseHeadMemory = maxHeaderBytes*parsedBytesPerByte + maxHeadFields*parsedBytesPerField

// errHeadTooLong is returned for a response whose head has more than maxHeadFields or maxHeaderBytes.
var errHeadTooLong = errors.New("the head of the response is too long")

// memoryWait bounds the wait of a response for memory.
type memoryWait struct {
	ctx   context.Context
	until time.Time // deadline of the attempt
}

// responseReader reads the bytes of one response at a time from a connection. It counts the fields of the response's head,
// and takes memory for a long head, before http.ReadResponse parses the head.
type responseReader struct {
	limit  io.LimitedReader // reads from the connection and limits the size of a response
	budget *memoryBudget    // for the memory of responses

	wait       memoryWait // bounds the wait for memory of the current response's head
	head       headScanner
	headEnds   bool        // the head of the final response is complete
	headMemory reservation // for a long head; the caller of takeHeadMemory or reset releases it
}

// reset begins the next response, and releases the memory of the head of the previous one.
func (r *responseReader) reset(wait memoryWait) {
	r.limit.N = maxResponseBytes
	r.wait = wait
	r.head = headScanner{}
	r.headEnds = false
	r.headMemory.release()
}

// Read reads bytes of the response. It returns errHeadTooLong, or an error that wraps errMemoryExhausted, in place of bytes
// that must not be parsed.
func (r *responseReader) Read(p []byte) (int, error) {
	n, err := r.limit.Read(p)
	if headErr := r.scanHeads(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// scanHeads scans received bytes up to the end of the final response's head.
func (r *responseReader) scanHeads(received []byte) error {
	for len(received) > 0 && !r.headEnds {
		n, complete := r.head.scan(received)
		received = received[n:]
		if err := r.admitHead(complete); err != nil {
			return err
		}
		switch {
		case complete && r.head.isInterimResponse():
			r.head = headScanner{}
		case complete:
			r.headEnds = true
			r.headMemory.shrink(r.head.memory())
		}
	}
	return nil
}

// admitHead checks the current head as far as it has been received, and reserves the memory that it takes in parsed form.
func (r *responseReader) admitHead(complete bool) error {
	if r.head.isTooLong() || r.head.bytes > maxHeaderBytes {
		return errHeadTooLong
	}
	if !r.head.needsReservation() || r.headMemory.budget != nil {
		return nil
	}
	bytes := int64(maxResponseHeadMemory)
	if complete && !r.head.isInterimResponse() {
		bytes = r.head.memory()
	}
	memory, err := r.budget.reserve(r.wait.ctx, r.wait.until, bytes)
	r.headMemory = memory
	return err
}

// takeHeadMemory returns the memory of the response's head, which the caller must release.
func (r *responseReader) takeHeadMemory() reservation {
	memory := r.headMemory
	r.headMemory = reservation{}
	return memory
}
