package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Each backend of a pool has its own address, and connections and requests are counted for each backend.
func TestBackendsAreCountedSeparately(t *testing.T) {
	pool := New(Options{ServiceTime: time.Millisecond, Listeners: 2})
	if err := pool.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	entries := pool.Instances(300, []string{"a", "b"}, []string{"m1", "m2"})
	addresses := make(map[string]bool)
	placements := make(map[string]int) // number of entries by zone and machine type
	for _, entry := range entries {
		addresses[entry.HostPort] = true
		placements[entry.Zone+entry.MachineType]++
	}
	if len(addresses) != 300 || placements["am1"] != 75 || placements["bm2"] != 75 || entries[299].ID != "b-00300" {
		t.Fatalf("%d addresses, entries by zone and machine type %v", len(addresses), placements)
	}

	// Open three connections to the last backend and one connection to each of the first two backends. Send requests on
	// all connections except the last one.
	var conns []net.Conn
	for n, i := range []int{299, 299, 299, 0, 1} {
		conn, err := net.Dial("tcp", entries[i].HostPort)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(time.Minute))
		conns = append(conns, conn)
		if n != 4 {
			sendRequests(t, conn)
		}
	}
	awaitStats(t, pool, "waiting for all connections to be open", func(s Stats) bool { return s.OpenConns == 5 })
	s := pool.Stats()
	if s.Requests != 8 || s.Probes != 4 || s.Handshakes != 5 || s.PeakConns != 5 || s.PeakConnsPerBackend != 3 ||
		s.BackendsReached != 2 || s.Traffic.Conns != 5 {
		t.Errorf("%+v", s)
	}
	for _, conn := range conns {
		conn.Close()
	}
	awaitStats(t, pool, "waiting for all connections to be closed", func(s Stats) bool {
		return s.OpenConns == 0 && s.PeakConns == 5
	})
}

// sendRequests sends two requests and a health check, one after another, and reads their responses.
func sendRequests(t *testing.T, conn net.Conn) {
	t.Helper()
	reader := bufio.NewReader(conn)
	for _, text := range []string{
		"POST /checkout HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /",
		"GET /search HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /health/live HTTP/1.1\r\n\r\n",
	} {
		fmt.Fprint(conn, text)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != 200 || len(body) == 0 {
			t.Fatalf("%s: %q, %v", response.Status, body, err)
		}
	}
}

// awaitStats waits until the function reached returns true for the pool's counts. If this takes longer than 30 s,
// awaitStats fails the test with a message that begins with the parameter what.
func awaitStats(t *testing.T, pool *Pool, what string, reached func(Stats) bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !reached(pool.Stats()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: %+v", what, pool.Stats())
		}
	}
}
