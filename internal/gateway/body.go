package gateway

import (
	"errors"
	"io"
	"net/http"
)

const (
	maxBodyBytes        = 64 << 10 // bytes of the body of a request or a response
	maxPreallocatedBody = 4 << 10  // bytes; a body of at most this stated length is allocated at once
)

var (
	// errBodyTooLong is returned for a body of more than maxBodyBytes.
	errBodyTooLong = errors.New("the body is too long")
	// errUndelimitedBody is returned for a body without a marked end (see hasDelimitedBody), where the caller has to
	// know that the body is complete.
	errUndelimitedBody = errors.New("the body has neither a length nor chunks")
)

// readBody reads a complete body of the stated length, or up to EOF if the length is negative. It returns
// errBodyTooLong for a body of more than maxBodyBytes, and io.ErrUnexpectedEOF for a body that is shorter than
// stated. The stated length is not trusted: memory for a body of more than maxPreallocatedBody is allocated only as
// its bytes arrive.
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

// hasDelimitedBody reports whether a Content-Length or chunked encoding marks the end of a response's body. A body
// that ends with its connection looks complete even if it was cut off.
func hasDelimitedBody(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
