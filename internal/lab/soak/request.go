package soak

import (
	"fmt"
	"strings"
	"time"
)

// Request is a request of a client.
type Request struct {
	ID              string
	Class           string // name of the class
	Method          string
	Key             string        // idempotency key; "": none
	BodyBytes       int           // size of the body in bytes
	Timeout         time.Duration // time for which the client waits for the response, from the last byte sent
	Pieces          int           // number of pieces in which the request is written; 0 means 1
	PieceGap        time.Duration // pause between two pieces
	DisconnectAfter time.Duration // time from the last byte sent until the client disconnects; 0: it does not disconnect
}

// encode returns the request in HTTP/1.1 format.
func (q Request) encode() string {
	const clientID = 7
	var text strings.Builder
	fmt.Fprintf(&text, "%s /%s/do HTTP/1.1\r\nHost: origin.svc\r\n", q.Method, q.Class)
	writeHeader := func(name string, value any) { fmt.Fprintf(&text, "%s: %v\r\n", name, value) }
	writeHeader(idHeader, q.ID)
	writeHeader(classHeader, q.Class)
	writeHeader(planHeader, planName)
	writeHeader(clientHeader, fmt.Sprintf("%016x", clientID))
	writeHeader(timeoutHeader, q.Timeout.Milliseconds())
	writeHeader(termsHeader, "units=1,spread=1,first=0")
	if q.Key != "" {
		writeHeader(keyHeader, q.Key)
	}
	if q.BodyBytes > 0 {
		writeHeader("Content-Length", q.BodyBytes)
	}
	text.WriteString("\r\n")
	text.WriteString(strings.Repeat("b", q.BodyBytes))
	return text.String()
}
