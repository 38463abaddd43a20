package hostile

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Sizes of the messages.
const (
	headLimit       = 20 << 10 // bytes; the longest head that any version of the gateway reads
	longBodyBytes   = 64 << 10 // the longest body that the protocol allows
	customerIDRange = 1 << 33  // ids of customers are below this number
	maxPipelined    = 200      // short requests in one write
	maxFields       = 4096     // fields in the head of a complete request
)

// Class is the class of the requests that hostile clients send.
type Class struct {
	Name    string
	Timeout time.Duration // time for which the client says that it waits
	Plan    string        // plan of the customers
}

// messages builds what one client sends. Each client has its own, since the source of random numbers is not safe for
// concurrent use.
type messages struct {
	class  Class
	rng    *rand.Rand
	nextID func() string // returns an id that no other request has
}

// request returns a complete request with the given id, extra header lines and body. The customer is a new one.
func (m *messages) request(id, extraFields string, bodyBytes int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST /%[1]s HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %[2]s\r\nX-Service-Class: %[1]s\r\n",
		m.class.Name, id)
	fmt.Fprintf(&text, "X-Tier: %s\r\nX-Api-Key: %016x\r\nX-Time-Left-Ms: %d\r\nX-Call-Terms: units=1,spread=1,first=0\r\n",
		m.class.Plan, m.rng.Int64N(customerIDRange), m.class.Timeout.Milliseconds())
	text.WriteString(extraFields)
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("h", bodyBytes))
	return text.String()
}

// shortRequest returns a complete short request with a new id.
func (m *messages) shortRequest() (text, id string) {
	id = m.nextID()
	return m.request(id, "", 1+m.rng.IntN(32)), id
}

// distinctFields returns n short fields with different names.
func distinctFields(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "%x:\n", i)
	}
	return text.String()
}

// Heads without end, which are the same for all clients.
var (
	distinctFieldsHead = sync.OnceValue(func() string { return endlessHead(distinctFields(headLimit / 4)) })
	repeatedFieldsHead = sync.OnceValue(func() string { return endlessHead("a:\n") })
	longFieldHead      = sync.OnceValue(func() string { return endlessHead("a: " + strings.Repeat("x", headLimit)) })
)

// endlessHead returns the beginning of a request's head, filled up to the longest head with the given text.
func endlessHead(filling string) string {
	const start = "POST / HTTP/1.1\r\n"
	repeated := strings.Repeat(filling, headLimit/len(filling)+1)
	return start + repeated[:headLimit-len(start)-1]
}

// incomplete returns a message of a shape that never becomes a complete request.
func (m *messages) incomplete(shape Shape) string {
	switch shape {
	case DistinctFields:
		return distinctFieldsHead()
	case RepeatedFields:
		return repeatedFieldsHead()
	case LongField:
		return longFieldHead()
	case IncompleteBody:
		text := m.request(m.nextID(), "", longBodyBytes)
		return text[:len(text)-1]
	}
	junk := make([]byte, 1+m.rng.IntN(8<<10))
	for i := range junk {
		junk[i] = byte(m.rng.IntN(256))
	}
	return string(junk)
}

// invalid returns a complete request that the gateway can't decode, each time for another reason.
func (m *messages) invalid() string {
	valid, id := m.shortRequest()
	replacements := [][2]string{
		{"X-Service-Class: ", "X-Service-Class: no"},
		{"X-Tier: ", "X-Tier: no"},
		{"units=1", "units=none"},
		{"X-Time-Left-Ms: ", "X-Time-Left-Ms: x"},
		{id, ""},
		{"Content-Length: ", "Content-Length: -"},
		{"Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: "},
		{"HTTP/1.1", "HTTP/1.0"},
	}
	change := replacements[m.rng.IntN(len(replacements))]
	return strings.Replace(valid, change[0], change[1], 1)
}
