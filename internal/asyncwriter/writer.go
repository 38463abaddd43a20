// Package asyncwriter provides an io.Writer that never blocks its callers, so that a program is not affected by a
// reader of its log that is slow, hangs or has exited.
package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the capacity of the queue. Lines that do not fit are dropped and counted.
const maxQueuedLines = 1024

// Writer queues the data of each Write as one line, and writes the lines in order to a destination on a separate
// goroutine. It ignores errors of the destination, since a log that nobody reads must not stop the program. Its
// methods are safe for concurrent use. Writers are created by New; their goroutine runs until the process exits.
type Writer struct {
	dst     io.Writer
	queue   chan queueEntry
	dropped atomic.Uint64 // lines dropped since the last report of dropped lines
}

// queueEntry is a line or a marker. Flush queues a marker, which shows that all earlier entries have been written.
type queueEntry struct {
	line    []byte
	flushed chan struct{} // closed when the method forward reaches the marker; nil for a line
}

// New returns a Writer with the destination dst and starts its goroutine.
func New(dst io.Writer) *Writer {
	w := &Writer{dst: dst, queue: make(chan queueEntry, maxQueuedLines)}
	go w.forward()
	return w
}

// Write queues a line, or drops it if the queue is full. It returns len(p) and no error in either case.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.queue <- queueEntry{line: bytes.Clone(p)}:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Flush waits until all lines that are queued before the call have been written, or until the timeout has passed.
func (w *Writer) Flush(timeout time.Duration) {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	flushed := make(chan struct{})
	select {
	case w.queue <- queueEntry{flushed: flushed}:
	case <-expired.C:
		return
	}
	select {
	case <-flushed:
	case <-expired.C:
	}
}

// forward writes the queued lines to the destination. It never returns.
func (w *Writer) forward() {
	for entry := range w.queue {
		if entry.flushed != nil {
			close(entry.flushed)
			continue
		}
		w.dst.Write(entry.line)
		w.reportDropped()
	}
}

// reportDropped writes the number of lines dropped since the last report, if any, to the destination.
func (w *Writer) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.dst, "log: %d lines were dropped\n", n)
	}
}
