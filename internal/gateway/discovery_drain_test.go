package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"
)

// knownWithin is the time after which a change counts as known to a gateway, from when discovery had it and
// could be reached.
const knownWithin = 6 * time.Second

// Whatever the drain grace is, a poll that falls silent, the delay after it and the answer to the next one
// fit in the time after which a change counts as known.
func TestMissedChangeArrivesInTime(t *testing.T) {
	for grace := time.Duration(0); grace <= time.Minute; grace += 100 * time.Millisecond {
		timeouts := newPollTimeouts(grace)
		if total := timeouts.watchTotal() + watchRetryDelay + timeouts.response; total > knownWithin {
			t.Fatalf("with a grace of %v a change may arrive after %v", grace, total)
		}
		for timedOut := range 10 {
			if total := timeouts.fullList(timedOut, false) + watchRetryDelay + timeouts.response; total > knownWithin {
				t.Fatalf("with a grace of %v and %d lists that timed out, one may arrive after %v", grace, timedOut, total)
			}
		}
	}
}

// After polls that failed, in whatever way, the change comes with the next one: soon, and in full.
func TestChangeAfterFailedPolls(t *testing.T) {
	t.Parallel()
	answer := func(status int, text string) func(net.Conn) {
		return func(c net.Conn) { writeResponse(c, status, text) }
	}
	for name, failPoll := range map[string]func(net.Conn){
		"silent":          func(net.Conn) {},
		"closed":          func(c net.Conn) { c.Close() },
		"reset":           func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"rejected":        answer(http.StatusServiceUnavailable, "later"),
		"an error":        answer(http.StatusInternalServerError, "{}"),
		"not found":       answer(http.StatusNotFound, ""),
		"malformed":       answer(http.StatusOK, `{"generation": 44, "reset": true, "instances": [{]}`),
		"no list":         answer(http.StatusOK, `{"generation": 44, "reset": true}`),
		"empty body":      answer(http.StatusOK, ""),
		"not HTTP":        func(c net.Conn) { io.WriteString(c, "what?\r\n\r\n") },
		"interim only":    func(c net.Conn) { io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n") },
		"half the header": func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le") },
		"half the body": func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"generation\": 44, ")
		},
		"body cut off": func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"generation\": 44, ")
			c.Close()
		},
		"no last chunk": func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			far := newPeer(t)
			received := make(chan EndpointList, 8)
			runWatcher(t, newDiscoveryWatcher(far.address(), 800*time.Millisecond, false, func(l EndpointList) { received <- l }))
			conn, r := far.accept(t)
			readRequest(t, r)
			writeResponse(conn, http.StatusOK, `{"generation": 41, "reset": true, "instances": []}`)
			await(t, received, "list")
			var sentAt time.Time
			for range 4 { // the first is a watch; after a malformed answer the next poll asks for the full list
				readRequest(t, r)
				sentAt = time.Now()
				failPoll(conn)
				conn, r = far.accept(t)
			}
			readRequest(t, r)
			writeResponse(conn, http.StatusOK, `{"generation": 45, "reset": true, "instances": []}`)
			if l := await(t, received, "change"); l.Generation != 45 {
				t.Errorf("received version %d", l.Generation)
			}
			if elapsed := time.Since(sentAt); elapsed > knownWithin {
				t.Errorf("received after %v", elapsed)
			}
		})
	}
}

// The same holds after dials that hang and after refused ones.
func TestChangeAfterFailedDials(t *testing.T) {
	t.Parallel()
	received := make(chan EndpointList, 8)
	onList := func(l EndpointList) { received <- l }
	far := newFullBacklogBackend(t)
	runWatcher(t, newDiscoveryWatcher(far.address, 800*time.Millisecond, true, onList))
	for deadline := time.Now().Add(testTimeout); !isDialing(t, far.address) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	sentAt := time.Now()
	conn, r := far.accept(t)
	readRequest(t, r)
	writeResponse(conn, http.StatusOK, `{"generation": 41, "reset": true, "instances": []}`)
	await(t, received, "list")
	if elapsed := time.Since(sentAt); elapsed > knownWithin {
		t.Errorf("after a dial that hung, received after %v", elapsed)
	}

	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "discovery")
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port) // where nobody listens yet
	runWatcher(t, newDiscoveryWatcher(address, 800*time.Millisecond, true, onList))
	time.Sleep(2 * watchRetryDelay) // some dials are refused
	if err := syscall.Listen(fd, 8); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sentAt = time.Now()
	if conn, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	readRequest(t, bufio.NewReader(conn))
	writeResponse(conn, http.StatusOK, `{"generation": 41, "reset": true, "instances": []}`)
	await(t, received, "list")
	if elapsed := time.Since(sentAt); elapsed > knownWithin {
		t.Errorf("after refused dials, received after %v", elapsed)
	}
}

// A full list that takes long to be written arrives all the same, also one slower than a watch may be where
// no other list is in use.
func TestSlowFullListArrives(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		listInUse bool
		writeTime time.Duration
	}{{true, time.Second}, {false, 2500 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.writeTime), func(t *testing.T) {
			t.Parallel()
			slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				const parts = 10
				for i, text := 0, `{"generation": 41, "reset": true, "instances": []}`; i < parts; i++ {
					select {
					case <-q.Context().Done():
						return
					case <-time.After(c.writeTime / parts):
						io.WriteString(w, text[len(text)*i/parts:len(text)*(i+1)/parts])
						w.(http.Flusher).Flush()
					}
				}
			}))
			t.Cleanup(slow.Close)
			received := make(chan EndpointList, 8)
			onList := func(l EndpointList) { received <- l }
			runWatcher(t, newDiscoveryWatcher(slow.Listener.Addr().String(), 2*time.Second, c.listInUse, onList))
			await(t, received, "list")
		})
	}
}
