package wire

import "math"

// cursor reads the fields of a frame, which are big-endian and not padded. A read past the end returns zero
// and sets truncated, so that decoders of records need not check for the end after each field.
type cursor struct {
	remaining []byte
	truncated bool // a read went past the end of the frame
}

// take returns the next n bytes, or nil if fewer remain.
func (c *cursor) take(n int) []byte {
	if n < 0 || n > len(c.remaining) {
		c.truncated = true
		c.remaining = nil
		return nil
	}
	field := c.remaining[:n]
	c.remaining = c.remaining[n:]
	return field
}

// unsigned reads an unsigned integer of n bytes.
func (c *cursor) unsigned(n int) uint64 {
	var v uint64
	for _, b := range c.take(n) {
		v = v<<8 | uint64(b)
	}
	return v
}

func (c *cursor) u8() uint8    { return uint8(c.unsigned(1)) }
func (c *cursor) u16() uint16  { return uint16(c.unsigned(2)) }
func (c *cursor) u32() uint32  { return uint32(c.unsigned(4)) }
func (c *cursor) u64() uint64  { return c.unsigned(8) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }
func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }
