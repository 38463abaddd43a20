package counter

import (
	"net/http"
	"strconv"
	"time"
)

// response holds the response to a call until it is due.
type response struct {
	status int           // HTTP status: 200, 400, 404 or 503
	total  float64       // total of the name, if status is 200
	due    time.Duration // time on the service clock at which the response is sent; 0: at once
}

// appendHTTP appends the response in HTTP/1.1 format to text.
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
