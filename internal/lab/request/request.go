// Package request parses HTTP/1.1 requests for the stand-ins, which have to handle many
// requests at little cost. It supports only requests as the gateway writes them, with
// neither chunked bodies nor folded header lines.
package request

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
)

// maxHeaderLines is the largest number of header lines that a request may have.
const maxHeaderLines = 100

// ErrMalformed is returned for a request that can't be parsed. No further request can
// be read from its connection.
var ErrMalformed = errors.New("malformed request")

// Request is a request without its body. The zero value is ready for Read, which may be called
// again to read the next request of a connection.
type Request struct {
	Method []byte // valid until the next Read
	Target []byte // valid until the next Read
	Close  bool   // the header has "Connection: close", so no other request follows on the connection

	line []byte // copy of the request line; Method and Target are slices of it
}

// Read reads a complete request and discards its body. Each line must fit in reader's
// buffer. The error is ErrMalformed or the connection's read error.
func (q *Request) Read(reader *bufio.Reader) error {
	if err := q.readRequestLine(reader); err != nil {
		return err
	}
	bodyLength, err := q.readHeader(reader)
	if err != nil {
		return err
	}
	_, err = reader.Discard(bodyLength)
	return err
}

// readRequestLine reads the request line and sets Method and Target.
func (q *Request) readRequestLine(reader *bufio.Reader) error {
	line, err := readLine(reader)
	if err != nil {
		return err
	}
	q.line = append(q.line[:0], line...)
	method, rest, _ := bytes.Cut(q.line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if len(target) == 0 || !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return ErrMalformed
	}
	q.Method = method
	q.Target = target
	return nil
}

// readHeader reads the header lines and the blank line after them. It sets Close and returns the length of the body.
func (q *Request) readHeader(reader *bufio.Reader) (bodyLength int, err error) {
	q.Close = false
	for range maxHeaderLines {
		line, err := readLine(reader)
		if err != nil {
			return 0, err
		}
		if len(line) == 0 {
			return bodyLength, nil
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case !found, bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return 0, ErrMalformed
		case bytes.EqualFold(name, []byte("Connection")):
			q.Close = bytes.EqualFold(value, []byte("close"))
		case bytes.EqualFold(name, []byte("Content-Length")):
			bodyLength, err = strconv.Atoi(string(value))
			if err != nil || bodyLength < 0 {
				return 0, ErrMalformed
			}
		}
	}
	return 0, ErrMalformed
}

// readLine returns the next line without its line ending. The line is valid until the next read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, ErrMalformed
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}
