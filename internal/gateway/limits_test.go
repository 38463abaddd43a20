package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"amberlb/policy"
)

// All that the limits allow is live at once at most, and must fit in the memory of the runtime with room for garbage, at
// any memory limit and any number of descriptors. The lowest limits still allow work: connections on both sides, and a
// request and a response of the largest size.
func TestLimitsFitInMemoryTogether(t *testing.T) {
	if sum := requestShare + responseShare + customerShare; sum > 1.0001 {
		t.Errorf("the shares of the rest add up to %g", sum)
	}
	for _, memoryMB := range []int{minMemoryMB, 32, 48, 64, 192} {
		for _, sockets := range []int{minSockets, 256, 384, 1024, 1 << 16} {
			c := Config{MemoryMB: memoryMB, Sockets: sockets}
			l := c.limits()
			used := int64(l.clientConns)*clientConnBytes + int64(l.backendConns)*backendConnBytes +
				int64(l.customers)*customerBytes + int64(l.recentIDs)*recentIDBytes + l.requestBytes + l.responseBytes
			if maxUsed := int64(liveShare * float64(c.HeapLimit()-untouchedBytes-runtimeBytes)); used > maxUsed {
				t.Errorf("%d MB, %d sockets: %d bytes may be used, more than %d", memoryMB, sockets, used, maxUsed)
			}
			if descriptors := l.clientConns + l.backendConns + reservedFDs; descriptors > sockets {
				t.Errorf("%d MB, %d sockets: %d descriptors may be used", memoryMB, sockets, descriptors)
			}
			if l.clientConns < 1 || l.backendConns < 1 || l.customers < 1 || l.recentIDs < 1 ||
				l.requestBytes < maxRequestHeadMemory+maxBodyBytes || l.responseBytes < maxResponseHeadMemory+maxBodyBytes {
				t.Errorf("%d MB, %d sockets: no room for work: %+v", memoryMB, sockets, l)
			}
		}
	}
}

// Requests of ever new customers must not make a gateway keep ever more state. Beyond the number of customers that its
// memory limit allows, they are rejected, and those of known customers are not.
func TestMemoryLimitBoundsCustomers(t *testing.T) {
	t.Parallel()
	const excess = 20 // number of customers beyond the limit
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(backend.Close)
	g := startTestGatewayWith(t, func(config string) string {
		withCeiling := `"pays": 1, "unitsPerS": 4, "depth": 8, "neverOverRate": 8, "ceilingBurst": 40}`
		return strings.Replace(lowMemory(config), `"pays": 1}`, withCeiling, 1)
	})
	g.publishBackends(t, backend.Listener.Addr().String())
	limit := g.server.config.limits().customers
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * testTimeout))
	reader := bufio.NewReader(conn)
	status := func(customer int) (status int, retryAfter string) {
		t.Helper()
		io.WriteString(conn, requestText("GET", "lookup", "", apiKeyHeader, fmt.Sprintf("%016x", customer),
			quotaHeader, "units=1,spread=2,first=1"))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, resp.Header.Get("Retry-After")
	}
	tooMany := &g.server.frontend.loop.metrics.rejected[policy.ReasonCustomers]
	for customer := range limit { // some are rejected, since the customers' tokens under the ceiling are not earned yet
		status(customer)
	}
	if n := tooMany.Load(); n > 0 {
		t.Errorf("%d of the first %d customers were rejected for their number", n, limit)
	}
	for customer := range excess {
		if got, retryAfter := status(limit + customer); got != http.StatusTooManyRequests || retryAfter != "0.5" {
			t.Errorf("customer %d beyond the limit: status %d, Retry-After %q", customer, got, retryAfter)
		}
	}
	status(0)
	if n := tooMany.Load(); n != excess {
		t.Errorf("%d requests were rejected for the number of customers, want %d", n, excess)
	}
}
