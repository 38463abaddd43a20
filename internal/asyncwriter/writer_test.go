package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// gatedWriter is a destination whose writes block until the gate is opened.
type gatedWriter struct {
	gate chan struct{} // closing the channel opens the gate
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gatedWriter) Write(p []byte) (int, error) {
	<-g.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// Lines are written in order. While the destination blocks, Write does not block, and lines that do not fit into the
// queue are counted.
func TestBlockedDestinationBlocksNoCaller(t *testing.T) {
	dst := &gatedWriter{gate: make(chan struct{})}
	w := New(dst)
	const lines = maxQueuedLines + 100
	for i := range lines {
		if n, err := fmt.Fprintf(w, "line %d\n", i); n == 0 || err != nil {
			t.Fatal(n, err)
		}
	}
	startedAt := time.Now()
	w.Flush(50 * time.Millisecond)
	if elapsed := time.Since(startedAt); elapsed < 50*time.Millisecond {
		t.Errorf("Flush returned after %v though nothing was written", elapsed)
	}
	close(dst.gate)
	w.Flush(10 * time.Second)
	dst.mu.Lock()
	defer dst.mu.Unlock()
	text := dst.text.String()
	if !strings.HasPrefix(text, "line 0\nlog: ") || !strings.Contains(text, "\nline 1\nline 2\n") {
		t.Errorf("got %.200q", text)
	}
	forwarded := strings.Count(text, "line ")
	var dropped int
	_, err := fmt.Sscanf(text[strings.Index(text, "log: "):], "log: %d lines were dropped", &dropped)
	if err != nil || forwarded+dropped != lines {
		t.Errorf("%d lines forwarded and %d dropped of %d: %v", forwarded, dropped, lines, err)
	}
}

// Errors of the destination are not returned to callers of Write.
func TestFailingDestinationFailsNoCaller(t *testing.T) {
	reader, writer := io.Pipe()
	reader.Close()
	w := New(writer)
	for range 3 {
		if n, err := io.WriteString(w, "line\n"); n != 5 || err != nil {
			t.Error(n, err)
		}
	}
	w.Flush(10 * time.Second)
}
