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

// maxChangeDelay is the time within which a gateway must receive a change of the endpoint list. The time begins when
// discovery has the change and can be reached.
const maxChangeDelay = 6 * time.Second

// For every drain grace, three times must add up to maxChangeDelay at most: the timeout of a poll that gets no
// response, watchRetryDelay, and the time that the response to the next poll takes.
func TestMissedChangeArrivesInTime(t *testing.T) {
	for grace := time.Duration(0); grace <= time.Minute; grace += 100 * time.Millisecond {
		timeouts := newPollTimeouts(grace)
		if total := timeouts.watchTimeout() + watchRetryDelay + timeouts.response; total > maxChangeDelay {
			t.Fatalf("with a drain grace of %v, a change may arrive after %v", grace, total)
		}
		for timedOut := range 10 {
			if total := timeouts.fullListTimeout(timedOut, false) + watchRetryDelay + timeouts.response; total > maxChangeDelay {
				t.Fatalf("with a drain grace of %v and %d timed-out polls, a list may arrive after %v", grace, timedOut, total)
			}
		}
	}
}

// After any kind of failed poll, the next successful poll must deliver all changes within maxChangeDelay.
func TestChangeAfterFailedPolls(t *testing.T) {
	t.Parallel()
	respond := func(status int, text string) func(net.Conn) {
		return func(c net.Conn) { writeResponse(c, status, text) }
	}
	for name, failPoll := range map[string]func(net.Conn){
		"silent":          func(net.Conn) {},
		"closed":          func(c net.Conn) { c.Close() },
		"reset":           func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"rejected":        respond(http.StatusServiceUnavailable, "later"),
		"an error":        respond(http.StatusInternalServerError, "{}"),
		"not found":       respond(http.StatusNotFound, ""),
		"malformed":       respond(http.StatusOK, `{"generation": 44, "reset": true, "instances": [{]}`),
		"no list":         respond(http.StatusOK, `{"generation": 44, "reset": true}`),
		"empty body":      respond(http.StatusOK, ""),
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
			discovery := newPeer(t)
			received := make(chan EndpointList, 8)
			runWatcher(t, newDiscoveryWatcher(discovery.address(), 800*time.Millisecond, false,
				func(list EndpointList) { received <- list }))
			conn, reader := discovery.accept(t)
			readRequest(t, reader)
			writeResponse(conn, http.StatusOK, `{"generation": 41, "reset": true, "instances": []}`)
			await(t, received, "list")
			var sentAt time.Time
			for range 4 { // the first poll is a watch; after an invalid response the next poll asks for the full list
				readRequest(t, reader)
				sentAt = time.Now()
				failPoll(conn)
				conn, reader = discovery.accept(t)
			}
			readRequest(t, reader)
			writeResponse(conn, http.StatusOK, `{"generation": 45, "reset": true, "instances": []}`)
			if list := await(t, received, "change"); list.Generation != 45 {
				t.Errorf("received generation %d", list.Generation)
			}
			if elapsed := time.Since(sentAt); elapsed > maxChangeDelay {
				t.Errorf("received after %v", elapsed)
			}
		})
	}
}

// After dials that hang or are refused, the next successful poll must deliver the list within maxChangeDelay.
func TestChangeAfterFailedDials(t *testing.T) {
	t.Parallel()
	received := make(chan EndpointList, 8)
	onList := func(l EndpointList) { received <- l }
	discovery := newFullBacklogBackend(t)
	runWatcher(t, newDiscoveryWatcher(discovery.address, 800*time.Millisecond, true, onList))
	for deadline := time.Now().Add(testTimeout); !isDialing(t, discovery.address) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	sentAt := time.Now()
	conn, reader := discovery.accept(t)
	readRequest(t, reader)
	writeResponse(conn, http.StatusOK, `{"generation": 41, "reset": true, "instances": []}`)
	await(t, received, "list")
	if elapsed := time.Since(sentAt); elapsed > maxChangeDelay {
		t.Errorf("list received %v after a dial hung", elapsed)
	}

	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "discovery")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port) // bound but not listening yet
	runWatcher(t, newDiscoveryWatcher(address, 800*time.Millisecond, true, onList))
	time.Sleep(2 * watchRetryDelay) // meanwhile dials are refused
	if err := syscall.Listen(fd, 8); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(file)
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
	if elapsed := time.Since(sentAt); elapsed > maxChangeDelay {
		t.Errorf("list received %v after dials were refused", elapsed)
	}
}

// A full list that discovery writes slowly must still arrive. If the gateway has no endpoint list yet, the full list
// may take longer than the timeout of a watch.
func TestSlowFullListArrives(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		listInUse bool
		writeTime time.Duration
	}{{true, time.Second}, {false, 2500 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.writeTime), func(t *testing.T) {
			t.Parallel()
			slowDiscovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				const chunks = 10
				for i, text := 0, `{"generation": 41, "reset": true, "instances": []}`; i < chunks; i++ {
					select {
					case <-req.Context().Done():
						return
					case <-time.After(c.writeTime / chunks):
						io.WriteString(w, text[len(text)*i/chunks:len(text)*(i+1)/chunks])
						w.(http.Flusher).Flush()
					}
				}
			}))
			t.Cleanup(slowDiscovery.Close)
			received := make(chan EndpointList, 8)
			onList := func(l EndpointList) { received <- l }
			runWatcher(t, newDiscoveryWatcher(slowDiscovery.Listener.Addr().String(), 2*time.Second, c.listInUse, onList))
			await(t, received, "list")
		})
	}
}
