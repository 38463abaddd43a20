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

// slow is a writer that takes a line only when it is let.
type slow struct {
	let  chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *slow) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Lines come in order; while nobody takes them no writer waits, and those that had no place are counted.
func TestWriter(t *testing.T) {
	to := &slow{let: make(chan struct{})}
	w := New(to)
	const written = maxQueuedLines + 100
	for i := range written {
		if n, err := fmt.Fprintf(w, "line %d\n", i); n == 0 || err != nil {
			t.Fatal(n, err)
		}
	}
	began := time.Now()
	w.Flush(50 * time.Millisecond)
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Errorf("flushed in %v though nothing was taken", took)
	}
	close(to.let)
	w.Flush(10 * time.Second)
	to.mu.Lock()
	defer to.mu.Unlock()
	text := to.text.String()
	if !strings.HasPrefix(text, "line 0\nlog: ") || !strings.Contains(text, "\nline 1\nline 2\n") {
		t.Errorf("got %.200q", text)
	}
	passed := strings.Count(text, "line ")
	var dropped int
	if _, err := fmt.Sscanf(text[strings.Index(text, "log: "):], "log: %d lines were dropped", &dropped); err != nil || passed+dropped != written {
		t.Errorf("%d lines and %d dropped of %d: %v", passed, dropped, written, err)
	}
}

// A writer that fails ends nothing.
func TestFailingWriter(t *testing.T) {
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
