package gateway

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"amberlb/internal/wire"
	"amberlb/policy"
)

// For any response of a counter, readTotal returns a finite total. It returns a total other than 0 only with the
// outcome Served.
func FuzzReadTotal(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n12.5",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nNaN",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n7\r\n0\r\n\r\n",
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "noise", "",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		outcome, total, err := readTotal(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: http.MethodPost})
		if math.IsNaN(total) || math.IsInf(total, 0) ||
			outcome == policy.Served && err != nil || total != 0 && outcome != policy.Served {
			t.Errorf("outcome %d, total %v, %v", outcome, total, err)
		}
	})
}

// If decodeQuota accepts a value of the quota header, the decoded values are in range.
func FuzzDecodeQuota(f *testing.F) {
	for _, seed := range []string{"units=2,spread=2,first=1", "units=NaN,spread=1,first=0", "units=1,units=2,spread=1",
		"units=-1,spread=-1,first=-1", "units=1e999,spread=9999999999999999999,first=0", ",=,="} {
		f.Add(seed)
	}
	front := &frontend{deployment: &wire.Deployment{Settings: policy.Settings{FleetSize: 3, MaxUnits: 4}}}
	f.Fuzz(func(t *testing.T, text string) {
		var decoded policy.Request
		if err := front.decodeQuota(&decoded, text); err != nil {
			return
		}
		if !(decoded.Units > 0 && decoded.Units <= 4) || decoded.Gateways < 1 || decoded.Gateways > 3 ||
			decoded.FirstGateway < 0 || decoded.FirstGateway >= 3 {
			t.Errorf("%q was accepted: %+v", text, decoded)
		}
	})
}

// readerConn is a connection that reads from reader.
type readerConn struct {
	net.Conn
	reader io.Reader
}

// Read reads from c.reader.
func (c readerConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// For any response of a backend, a body with the outcome Served has at most maxBodyBytes, and a connection with the
// outcome ConnectionReset is not reused.
func FuzzReadResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nok", "ICY 200 OK\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c := newBackendConn(readerConn{reader: strings.NewReader(text)}, nil, newUnlimitedBudget(responsesKind))
		result, reuse := c.readResponse(memoryWait{t.Context(), time.Now().Add(testTimeout)}, http.MethodGet)
		if result.outcome == policy.Served && len(result.body) > maxBodyBytes ||
			result.outcome == policy.ConnectionReset && reuse {
			t.Errorf("outcome %d, %d bytes, reused %t", result.outcome, len(result.body), reuse)
		}
	})
}
