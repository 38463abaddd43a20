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

var (
	// errBodyTooLong is returned for a body of more than maxBodyBytes.
	errBodyTooLong = errors.New("the body is too long")
	// errUndelimitedBody is returned for a body without hasDelimitedBody where the end matters.
	errUndelimitedBody = errors.New("the end of the body is that of its connection")
)

// readBody reads a complete body of the stated length, or to its end where the length is negative. It returns
// errBodyTooLong for one over the limit, and io.ErrUnexpectedEOF for one that is shorter than stated. A length is but
// a claim: memory for a long body is taken only as the bytes come.
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

// hasDelimitedBody reports whether a length or chunks mark the end of a body. One that ends with its connection looks
// complete when it was cut off.
func hasDelimitedBody(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
