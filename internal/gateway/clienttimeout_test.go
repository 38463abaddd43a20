package gateway

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// Guards against a gateway that rejects requests untried, with an idle backend, since each client waits a time of its
// own: they were taken for retries, also where clients mark those.
func TestClientsWithOwnTimeoutsReachBackend(t *testing.T) {
	t.Parallel()
	for _, marked := range []bool{false, true} {
		t.Run("marked="+strconv.FormatBool(marked), func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			g := startTestGatewayWith(t, func(config string) string {
				clients := `"clients": {"marksRetry": ` + strconv.FormatBool(marked) + `}, `
				return strings.Replace(config, `"fleetSize"`, clients+`"fleetSize"`, 1)
			}, backend)
			go answerAll(t.Context().Done(), backend)
			conn := dial(t, g.address, "")
			send := func(timeoutMillis int) {
				t.Helper()
				text := requestText("GET", "lookup", "", timeLeftHeader, strconv.Itoa(timeoutMillis))
				if resp, err := roundTripOn(t, conn, text); err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("a client that waits %d ms: %v, %v", timeoutMillis, resp, err)
				}
			}
			for range 20 {
				send(9900) // of a deadline of 20 s, and a latency objective of 10 s
			}
			for i := range 40 {
				send(9800 - 20*i)
			}
		})
	}
}

// answerAll answers every request on every connection of a backend with 200, until done is closed.
func answerAll(done <-chan struct{}, backend *peer) {
	for {
		select {
		case <-done:
			return
		case conn := <-backend.conns:
			go answerOn(conn)
		}
	}
}

// answerOn answers every request on a connection with 200, until the connection ends.
func answerOn(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		respondOK(conn, "")
	}
}
