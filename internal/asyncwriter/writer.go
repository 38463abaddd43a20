// Package asyncwriter provides an io.Writer that never blocks its callers. It decouples a program from the
// reader of its log, which may be slow, stuck or gone.
package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the length of the queue. Lines that don't fit are dropped and counted.
const maxQueuedLines = 1024

// Writer forwards each Write to another writer, in order, on a goroutine of its own. Errors of that writer
// are ignored: a log that nobody reads must not keep a program from its work. Its methods may be called
// from many goroutines. A Writer is made by New, and its goroutine lasts as long as the process.
type Writer struct {
	dst     io.Writer
	queue   chan queueEntry
	dropped atomic.Uint64 // lines dropped since the last line about them
}

// queueEntry is a line, or a marker that all entries before it have been written.
type queueEntry struct {
	line    []byte
	flushed chan struct{} // closed when the marker is reached; nil for a line
}

// New returns a Writer that forwards to dst.
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

// Flush returns when all lines queued before it have been written, or after the timeout.
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

// forward writes the queue's entries to the destination.
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

// reportDropped writes how many lines have been dropped since it last did so, if any.
func (w *Writer) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.dst, "log: %d lines were dropped\n", n)
	}
}
