package gateway

import (
	"bytes"
	"strconv"
	"strings"
)

// Limits on the head of a message: its first line and its header fields.
const (
	maxHeadFields = 100 // fields after which a head is rejected

	// A head up to these sizes needs no reservation: clientConnBytes and backendConnBytes allow for it.
	unreservedHeadBytes  = 4 << 10
	unreservedHeadFields = 32
)

// Memory of a head in parsed form. A short field takes far more memory in a map than on the wire.
const (
	parsedBytesPerByte  = 3   // the reader's buffer, the line and the strings
	parsedBytesPerField = 256 // a place in the map of a head and in its copy for a backend, a slice and two small strings
)

// maxFramingLine is the length of a line up to which headScanner reads the field in it.
const maxFramingLine = 64

// headScanner finds the end of a message's head in the bytes of a connection, without parsing the head, so that a head of
// too many fields never reaches a parser. It recognizes lines as net/http does. The zero value is at the beginning of a
// head.
type headScanner struct {
	bytes  int // number of bytes of the head so far
	fields int // number of complete lines, including the first line

	line       [maxFramingLine]byte // beginning of the current line
	lineLength int                  // length of the current line so far; may exceed maxFramingLine

	firstLine     string // beginning of the first line
	contentLength int64  // stated length of the body; 0 if none is stated
	hasLength     bool   // a length is stated
	unframed      bool   // the end of the body can't be told from the head
}

// scan reads bytes of the head. It returns the number of bytes of p that belong to the head, and whether the head ends
// with them. Empty lines before the first line belong to the head.
func (h *headScanner) scan(p []byte) (n int, complete bool) {
	for n < len(p) {
		length := bytes.IndexByte(p[n:], '\n') + 1
		if length == 0 {
			h.addToLine(p[n:])
			return len(p), false
		}
		h.addToLine(p[n : n+length])
		n += length
		if h.endLine() {
			return n, true
		}
	}
	return n, false
}

// addToLine adds bytes to the current line.
func (h *headScanner) addToLine(p []byte) {
	if h.lineLength < maxFramingLine {
		copy(h.line[h.lineLength:], p)
	}
	h.lineLength += len(p)
	h.bytes += len(p)
}

// endLine evaluates the current line, which is complete, and reports whether the head ends with it.
func (h *headScanner) endLine() (complete bool) {
	line := h.line[:min(h.lineLength, maxFramingLine)]
	isLong := h.lineLength > maxFramingLine
	h.lineLength = 0
	text := bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	switch {
	case len(text) == 0:
		return h.fields > 0
	case h.fields == 0:
		h.firstLine = string(text)
	case text[0] == ' ' || text[0] == '\t':
		h.unframed = true // the line continues the field before it, which may be about the body
	default:
		h.evaluateField(text, isLong)
	}
	h.fields++
	return false
}

// evaluateField evaluates a field that determines the end of the body.
func (h *headScanner) evaluateField(line []byte, isLong bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
		h.unframed = true
	case bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
		length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || length < 0 || isLong || h.hasLength && length != h.contentLength {
			h.unframed = true
			return
		}
		h.contentLength, h.hasLength = length, true
	}
}

// isInterimResponse reports whether the first line is that of an interim (1xx) response.
func (h *headScanner) isInterimResponse() bool {
	_, status, _ := strings.Cut(h.firstLine, " ")
	return strings.HasPrefix(strings.TrimLeft(status, " "), "1")
}

// isTooLong reports whether the head has too many fields.
func (h *headScanner) isTooLong() bool { return h.fields > maxHeadFields }

// needsReservation reports whether the head takes more memory than an unreserved one.
func (h *headScanner) needsReservation() bool {
	return h.bytes > unreservedHeadBytes || h.fields > unreservedHeadFields
}

// memory returns the number of bytes of memory that the head takes in parsed form.
func (h *headScanner) memory() int64 { return headMemory(h.bytes, h.fields) }

// headMemory returns the number of bytes of memory that a head of the given size takes in parsed form.
func headMemory(bytes, fields int) int64 {
	return int64(bytes)*parsedBytesPerByte + int64(fields)*parsedBytesPerField
}
