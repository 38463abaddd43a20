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

// All that the memory shares limit must fit on the heap together, at any memory limit. The lowest limit still allows work:
// connections on both sides, and one request and one response of the largest size.
func TestMemorySharesFitOnHeap(t *testing.T) {
	const sum = clientMemoryShare + backendMemoryShare + customerShare + requestShare + responseShare
	if sum > heapShare {
		t.Errorf("the shares add up to %g, more than the %g of the heap", sum, heapShare)
	}
	for _, memoryMB := range []int{minMemoryMB, 32, 48, 192} {
		for _, sockets := range []int{minSockets, 1024, 1 << 16} {
			c := Config{MemoryMB: memoryMB, Sockets: sockets}
			used := int64(c.maxClientConns())*clientConnBytes + int64(c.maxBackendConns())*backendConnBytes +
				int64(c.maxCustomers())*customerBytes + c.requestBytes() + c.responseBytes()
			if used > c.HeapLimit() {
				t.Errorf("%d MB, %d sockets: %d bytes may be used, more than the heap's %d", memoryMB, sockets, used, c.HeapLimit())
			}
			if descriptors := c.maxClientConns() + c.maxBackendConns() + reservedFDs; descriptors > sockets {
				t.Errorf("%d MB, %d sockets: %d descriptors may be used", memoryMB, sockets, descriptors)
			}
			largest := int64(maxHeaderBytes + maxBodyBytes)
			if c.maxClientConns() < 1 || c.maxBackendConns() < 1 || c.maxCustomers() < 1 || c.requestBytes() < largest ||
				c.responseBytes() < maxResponseBytes {
				t.Errorf("%d MB, %d sockets: no room for work", memoryMB, sockets)
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
	limit := g.server.config.maxCustomers()
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
