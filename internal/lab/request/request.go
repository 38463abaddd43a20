// Package request reads HTTP/1.1 requests for the stand-ins that must bear many
// of them cheaply. It reads what the gateway writes: no chunks, no folded lines.
package request

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
)

// Request is the head of a request. It is used again for the next one.
type Request struct {
	Method, Target []byte
	Close          bool // no other request follows
	line           []byte
}

// ErrMalformed is returned for anything that can't be read; the connection has
// no use after it.
var ErrMalformed = errors.New("malformed request")

const maxHeaderLines = 100

// Read reads a whole request and throws its body away. A line must fit in r's
// buffer. Any error other than ErrMalformed is the connection's.
func (q *Request) Read(r *bufio.Reader) error {
	line, err := readLine(r)
	if err != nil {
		return err
	}
	q.line = append(q.line[:0], line...)
	method, rest, _ := bytes.Cut(q.line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if len(target) == 0 || !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return ErrMalformed
	}
	q.Method, q.Target, q.Close = method, target, false
	length := 0
	for range maxHeaderLines {
		if line, err = readLine(r); err != nil {
			return err
		}
		if len(line) == 0 {
			_, err = r.Discard(length)
			return err
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case !found, bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return ErrMalformed
		case bytes.EqualFold(name, []byte("Connection")):
			q.Close = bytes.EqualFold(value, []byte("close"))
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 {
				return ErrMalformed
			}
		}
	}
	return ErrMalformed
}

// readLine returns the next line without its end, valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return nil, ErrMalformed
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}
