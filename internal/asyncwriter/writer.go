// Package asyncwriter passes log lines on without ever making who writes them wait.
package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines wait at most; further ones are dropped and counted.
const maxQueuedLines = 1024

// Writer passes each Write on to another writer, in order, on a goroutine of its own. Errors of that writer are ignored:
// a log that nobody takes must not keep a program from its work. Its methods may be called from many goroutines.
type Writer struct {
	dst     io.Writer
	lines   chan line
	dropped atomic.Uint64
}

// line is one line, or a mark that all before it have been passed on.
type line struct {
	text    []byte
	flushed chan struct{}
}

// New returns a Writer on to.
func New(dst io.Writer) *Writer {
	w := &Writer{dst: dst, lines: make(chan line, maxQueuedLines)}
	go w.forward()
	return w
}

// Write takes a line, or drops it if too many wait. It returns len(p) and no error in either case.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- line{text: bytes.Clone(p)}:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Flush waits until all that was written before it has been passed on, for so long at most.
func (w *Writer) Flush(timeout time.Duration) {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	flushed := make(chan struct{})
	select {
	case w.lines <- line{flushed: flushed}:
	case <-expired.C:
		return
	}
	select {
	case <-flushed:
	case <-expired.C:
	}
}

func (w *Writer) forward() {
	for l := range w.lines {
		if l.flushed != nil {
			close(l.flushed)
			continue
		}
		w.dst.Write(l.text)
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.dst, "log: %d lines were dropped\n", n)
		}
	}
}
