package gateway

import (
	"errors"
	"io"
	"net/http"
)

const (
	maxBodyBytes        = 64 << 10 // bytes of a body, of a request or of a response
	maxPreallocatedBody = 4 << 10  // bytes of a stated length for which memory is taken at once
)

var errBodyTooLong = errors.New("the body is too long")

// readBody reads a whole body, of known length or not. A length is a
// claim; memory for a long one is taken only as the bytes come.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length > maxBodyBytes {
		return nil, errBodyTooLong
	}
	if length >= 0 && length <= maxPreallocatedBody {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errBodyTooLong
	}
	if err == nil && length >= 0 && int64(len(body)) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// hasDelimitedBody tells whether the end of a body is told by a length or by chunks.
// One that ends with its connection looks whole when it was cut.
func hasDelimitedBody(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
