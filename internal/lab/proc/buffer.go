package proc

import (
	"bytes"
	"sync"
)

// boundedBuffer keeps a limited number of the bytes written to it: either the first or the last bytes.
type boundedBuffer struct {
	limit    int  // bytes
	keepHead bool // true: keep the first bytes; false: keep the last bytes

	mu   sync.Mutex
	data []byte
}

// Write stores p and discards the bytes that exceed the limit. It always returns len(p) and no error.
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

// bytes returns a copy of the stored bytes.
func (b *boundedBuffer) bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.data)
}
