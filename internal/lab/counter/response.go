package counter

import (
	"net/http"
	"strconv"
	"time"
)

// response is the answer to a call.
type response struct {
	status int           // as in HTTP: 200, 400, 404 or 503
	total  float64       // of the name, with status 200
	due    time.Duration // on the service clock; 0: at once
}

// appendHTTP appends the response as HTTP.
func (r response) appendHTTP(text []byte) []byte {
	switch r.status {
	case http.StatusOK:
		var digits [32]byte
		total := strconv.AppendFloat(digits[:0], r.total, 'f', -1, 64)
		text = append(text, "HTTP/1.1 200 OK\r\nContent-Length: "...)
		text = strconv.AppendInt(text, int64(len(total)), 10)
		text = append(text, "\r\n\r\n"...)
		return append(text, total...)
	case http.StatusServiceUnavailable:
		return append(text, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"...)
	case http.StatusBadRequest:
		return append(text, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"...)
	default:
		return append(text, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"...)
	}
}
