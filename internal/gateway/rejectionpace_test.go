package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// One client at full speed must not make others wait: the requests of a connection that are rejected get a bounded pace,
// however fast the client sends them, and served ones get none. The first rejections are answered at once.
func TestRejectedRequestsOfOneConnectionGetBoundedPace(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	open := requestText("GET", "lookup", "")
	conn := dial(t, g.address, open)
	attempt, _ := backend.acceptRequest(t)
	reader := bufio.NewReader(conn)

	flooding := dial(t, g.address, "")
	floodReader := bufio.NewReader(flooding)
	const length = time.Second
	conflicts := 0
	burstTook := time.Duration(0)
	begin := time.Now()
	for ; time.Since(begin) < length; conflicts++ {
		if conflicts == rejectionBurst {
			burstTook = time.Since(begin)
		}
		io.WriteString(flooding, open)
		resp, err := http.ReadResponse(floodReader, nil)
		if err != nil || resp.StatusCode != http.StatusConflict || resp.Close {
			t.Fatalf("conflict %d: %v, %v", conflicts, resp, err)
		}
	}
	// The loop may begin one more request just before its end.
	if most := rejectionBurst + rejectionsPerSecond + 1; conflicts > most || conflicts < most/2 {
		t.Errorf("%d requests were rejected in %v, want at most %d", conflicts, length, most)
	}
	if limit := length / 2; burstTook > limit {
		t.Errorf("the first %d rejections took %v", rejectionBurst, burstTook)
	}
	respondOK(attempt, "served")
	if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the open request: %v, %v", resp, err)
	}
}

// Served requests on a connection are never paused.
func TestServedRequestsAreNotPaused(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	conn := dial(t, g.address, "")
	reader := bufio.NewReader(conn)
	go func() {
		for {
			select {
			case attempt := <-backend.conns:
				go func() {
					attemptReader := bufio.NewReader(attempt)
					for {
						if _, err := http.ReadRequest(attemptReader); err != nil {
							return
						}
						respondOK(attempt, "ok")
					}
				}()
			case <-t.Context().Done():
				return
			}
		}
	}()
	for n := range 2 * (rejectionBurst + rejectionsPerSecond) {
		io.WriteString(conn, requestText("GET", "lookup", ""))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v, %v", n, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	if n := g.server.frontend.loop.metrics.counts[connectionsPaused].Load(); n != 0 {
		t.Errorf("the connection was paused %d times", n)
	}
}

// The time of a pause counts against the deadline of the request that was waiting, as its client's time runs on.
func TestPauseCountsAgainstDeadline(t *testing.T) {
	t.Parallel()
	const pause = 200 * time.Millisecond
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	near, far := connPair(t, newPeer(t))
	conn := g.server.clientConnections.tryAdd(near)
	conn.framer.headEnds = true // as if a request had just been answered
	conn.pause = pause
	io.WriteString(far, requestText("GET", "lookup", "", timeLeftHeader, strconv.Itoa(5000)))
	if left := time.Until(g.server.frontend.requestDeadline(t, conn)); left > 5*time.Second-pause {
		t.Errorf("%v of 5s are left after a pause of %v", left, pause)
	}
}
