package gateway

import (
	"errors"
	"io"
	"net/http"
)

// maxBodyBytes is the limit on the body of a request or a response, in bytes.
const maxBodyBytes = 64 << 10

var (
	// errBodyTooLong is returned for a body of more than maxBodyBytes.
	errBodyTooLong = errors.New("the body is too long")
	// errUndelimitedBody is returned for a body without a marked end (see hasDelimitedBody) if the caller must know
	// that the body is complete.
	errUndelimitedBody = errors.New("the body has neither a length nor chunks")
)

// readBody reads a complete body of the stated length, or up to EOF if the length is negative. It returns
// errBodyTooLong for a body of more than maxBodyBytes, and io.ErrUnexpectedEOF or io.EOF for a body that is shorter
// than stated. It allocates memory for the whole body in advance if the length is stated.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length > maxBodyBytes {
		return nil, errBodyTooLong
	}
	if length >= 0 {
		return readExactly(r, length)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errBodyTooLong
	}
	return body, err
}

// readExactly reads a body of the given length into a buffer of that size. It returns io.ErrUnexpectedEOF or io.EOF for a
// shorter body.
func readExactly(r io.Reader, length int64) ([]byte, error) {
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// hasDelimitedBody reports whether a Content-Length or chunked encoding marks the end of a response's body. Otherwise
// the body ends when the connection is closed, and a truncated body looks complete.
func hasDelimitedBody(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
