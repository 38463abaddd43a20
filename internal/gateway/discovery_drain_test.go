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

// toldWithin is the time after which a change counts as told to a gateway, from
// when discovery had it and could be reached.
const toldWithin = 6 * time.Second

// Whatever the grace for drains is, a call that falls silent, the pause after it
// and the answer to the next one fit in the time after which a change counts as told.
func TestChangeIsHeardInTime(t *testing.T) {
	for grace := time.Duration(0); grace <= time.Minute; grace += 100 * time.Millisecond {
		w := newDiscoveryWatcher("", grace, false, nil)
		if lasts := w.watchTimeout + w.responseTime + watchRetryDelay + w.responseTime; lasts > toldWithin {
			t.Fatalf("with a grace of %v a change may be heard after %v", grace, lasts)
		}
		for w.listTimeouts = range 10 {
			if lasts := w.listTimeout() + watchRetryDelay + w.responseTime; lasts > toldWithin {
				t.Fatalf("with a grace of %v and %d lists that came late, one may be heard after %v", grace, w.listTimeouts, lasts)
			}
		}
	}
}

// After a call that failed, in whatever way, and failed again, the change comes
// with the next: soon, and whole.
func TestChangeAfterFailedCalls(t *testing.T) {
	t.Parallel()
	answer := func(status int, text string) func(net.Conn) {
		return func(c net.Conn) { total(c, status, text) }
	}
	for name, fails := range map[string]func(net.Conn){
		"silent":          func(net.Conn) {},
		"closed":          func(c net.Conn) { c.Close() },
		"reset":           func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"refused":         answer(http.StatusServiceUnavailable, "later"),
		"an error":        answer(http.StatusInternalServerError, "{}"),
		"not there":       answer(http.StatusNotFound, ""),
		"spoilt":          answer(http.StatusOK, `{"generation": 44, "reset": true, "instances": [{]}`),
		"no list":         answer(http.StatusOK, `{"generation": 44, "reset": true}`),
		"nothing":         answer(http.StatusOK, ""),
		"not HTTP":        func(c net.Conn) { io.WriteString(c, "what?\r\n\r\n") },
		"interim only":    func(c net.Conn) { io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n") },
		"half the header": func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le") },
		"half the body": func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"generation\": 44, ")
		},
		"a cut body": func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"generation\": 44, ")
			c.Close()
		},
		"a chunk too few": func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			far := newPeer(t)
			heard := make(chan EndpointList, 8)
			watchFor(t, newDiscoveryWatcher(far.address(), 800*time.Millisecond, false, func(l EndpointList) { heard <- l }))
			conn, r := far.accept(t)
			readRequest(t, r)
			total(conn, http.StatusOK, `{"generation": 41, "reset": true, "instances": []}`)
			await(t, heard, "list")
			var reached time.Time
			for range 4 { // the first is a watch; what is spoilt has the next ask for all there are
				readRequest(t, r)
				reached = time.Now()
				fails(conn)
				conn, r = far.accept(t)
			}
			readRequest(t, r)
			total(conn, http.StatusOK, `{"generation": 45, "reset": true, "instances": []}`)
			if l := await(t, heard, "change"); l.Generation != 45 {
				t.Errorf("heard of version %d", l.Generation)
			}
			if took := time.Since(reached); took > toldWithin {
				t.Errorf("heard after %v", took)
			}
		})
	}
}

// The same holds where a connection never came up, and where it was refused.
func TestChangeAfterNoConnection(t *testing.T) {
	t.Parallel()
	heard := make(chan EndpointList, 8)
	tell := func(l EndpointList) { heard <- l }
	far := newCrowded(t)
	watchFor(t, newDiscoveryWatcher(far.address, 800*time.Millisecond, true, tell))
	for end := time.Now().Add(testTimeout); !dialling(t, far.address) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	reached := time.Now()
	conn, r := far.accept(t)
	readRequest(t, r)
	total(conn, http.StatusOK, `{"generation": 41, "reset": true, "instances": []}`)
	await(t, heard, "list")
	if took := time.Since(reached); took > toldWithin {
		t.Errorf("after a dial that hung, heard after %v", took)
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
	watchFor(t, newDiscoveryWatcher(address, 800*time.Millisecond, true, tell))
	time.Sleep(2 * watchRetryDelay) // some calls are refused
	if err := syscall.Listen(fd, 8); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	reached = time.Now()
	if conn, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	readRequest(t, bufio.NewReader(conn))
	total(conn, http.StatusOK, `{"generation": 41, "reset": true, "instances": []}`)
	await(t, heard, "list")
	if took := time.Since(reached); took > toldWithin {
		t.Errorf("after refused ones, heard after %v", took)
	}
}

// A whole list that takes long to be written is got all the same: also one slower
// than a watch may be, where no other list is there to send by.
func TestSlowList(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		inUse bool
		takes time.Duration
	}{{true, time.Second}, {false, 2500 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.takes), func(t *testing.T) {
			t.Parallel()
			slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				const parts = 10
				for i, text := 0, `{"generation": 41, "reset": true, "instances": []}`; i < parts; i++ {
					select {
					case <-q.Context().Done():
						return
					case <-time.After(c.takes / parts):
						io.WriteString(w, text[len(text)*i/parts:len(text)*(i+1)/parts])
						w.(http.Flusher).Flush()
					}
				}
			}))
			t.Cleanup(slow.Close)
			heard := make(chan EndpointList, 8)
			watchFor(t, newDiscoveryWatcher(slow.Listener.Addr().String(), 2*time.Second, c.inUse, func(l EndpointList) { heard <- l }))
			await(t, heard, "list")
		})
	}
}
