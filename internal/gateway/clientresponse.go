package gateway

import (
	"math"
	"net/http"
	"strconv"
)

// clientResponse is the final answer to a client's request.
type clientResponse struct {
	status     int
	retryAfter float64 // seconds; 0: no Retry-After header
	header     http.Header
	body       []byte // sent with status 200 only
}

// write sends the answer to the client.
func (r clientResponse) write(w http.ResponseWriter) {
	header := w.Header()
	for name, values := range r.header {
		header[name] = values
	}
	if r.status != http.StatusOK {
		if r.retryAfter > 0 {
			header["Retry-After"] = []string{formatRetryAfter(r.retryAfter)}
		}
		header["Content-Length"] = []string{"0"}
		w.WriteHeader(r.status)
		return
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // nil turns off net/http's content type detection, which costs time
	}
	header["Content-Length"] = []string{strconv.Itoa(len(r.body))}
	w.WriteHeader(r.status)
	w.Write(r.body) // an error needs no handling: the client can't receive the answer
}

// formatRetryAfter formats a number of seconds as a decimal, rounded up to whole milliseconds.
func formatRetryAfter(seconds float64) string {
	return strconv.FormatFloat(math.Ceil(seconds*1000)/1000, 'f', -1, 64)
}
