// Package asynclog passes log lines on without ever making who writes them wait.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// mostLines is how many lines wait at most; further ones are dropped and counted.
const mostLines = 1024

// Writer passes each Write on to another writer, in order, on a goroutine of its own. Errors of that writer are ignored:
// a log that nobody takes must not keep a program from its work. Its methods may be called from many goroutines.
type Writer struct {
	to      io.Writer
	lines   chan line
	dropped atomic.Uint64
}

// line is one line, or a mark that all before it have been passed on.
type line struct {
	text []byte
	mark chan struct{}
}

// New returns a Writer on to.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan line, mostLines)}
	go w.pass()
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
func (w *Writer) Flush(most time.Duration) {
	late := time.NewTimer(most)
	defer late.Stop()
	mark := make(chan struct{})
	select {
	case w.lines <- line{mark: mark}:
	case <-late.C:
		return
	}
	select {
	case <-mark:
	case <-late.C:
	}
}

func (w *Writer) pass() {
	for l := range w.lines {
		if l.mark != nil {
			close(l.mark)
			continue
		}
		w.to.Write(l.text)
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.to, "log: %d lines were dropped\n", n)
		}
	}
}
