package proc

import (
	"bytes"
	"sync"
)

// boundedBuffer keeps the first or the last bytes that are written to it.
type boundedBuffer struct {
	limit    int  // bytes
	keepHead bool // the first bytes are kept, else the last ones

	mu   sync.Mutex
	data []byte
}

// Write keeps what is within the limit. It never fails.
func (b *boundedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keepHead {
		remaining := b.limit - len(b.data)
		b.data = append(b.data, p[:min(len(p), remaining)]...)
		return len(p), nil
	}
	b.data = append(b.data, p...)
	if excess := len(b.data) - b.limit; excess > 0 {
		b.data = append(b.data[:0], b.data[excess:]...)
	}
	return len(p), nil
}

// bytes returns a copy of what is kept.
func (b *boundedBuffer) bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.data)
}
