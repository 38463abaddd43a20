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

// The times of calls to discovery meet the requirements that their constants state, for every drain grace.
func TestIntervalsOfCallsMeetTheirBounds(t *testing.T) {
	paces := []responsePace{{}, {minResponseTime}, {time.Second}, {slowResponseTime}, {time.Minute}}
	for grace := time.Duration(0); grace <= time.Minute; grace += 100 * time.Millisecond {
		timeouts := newPollTimeouts(grace)
		for _, pace := range paces {
			interval := timeouts.watchInterval(pace)
			if total := interval + slowResponseTime; total >= maxChangeDelay {
				t.Fatalf("grace %v, %+v: a change may arrive after %v", grace, pace, total)
			}
			if total := 2*slowResponseTime + interval; total >= maxChangeDelay+max(0, grace-2500*time.Millisecond) {
				t.Fatalf("grace %v, %+v: a change may arrive after %v, behind a slow response", grace, pace, total)
			}
			for unanswered := range 10 {
				for _, listInUse := range []bool{true, false} {
					total := timeouts.fullListInterval(unanswered, listInUse, pace) + slowResponseTime
					if total >= maxChangeDelay {
						t.Fatalf("grace %v, %+v, %d unanswered calls: a list may arrive after %v", grace, pace, unanswered, total)
					}
				}
			}
		}
		usual := timeouts.watchInterval(responsePace{})
		if shortest := newPollTimeouts(0).watchInterval(responsePace{}); usual > max(grace*9/10, shortest) {
			t.Errorf("grace %v: the next watch begins after %v", grace, usual)
		}
		lasts := time.Duration(timeouts.maxCalls()-1) * usual
		if slowest := timeouts.longPoll + slowResponseTime; lasts <= slowest {
			t.Errorf("grace %v: a call may be given up after %v, and a slow response takes %v", grace, lasts, slowest)
		}
	}
	if watchRetryDelay >= 200*time.Millisecond {
		t.Errorf("discovery forgets a watch before it is repeated after %v", watchRetryDelay)
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
			conn, reader := sendFirstList(t, discovery)
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
	writeResponse(conn, http.StatusOK, emptyEndpointList)
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
	writeResponse(conn, http.StatusOK, emptyEndpointList)
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
				for i, text := 0, emptyEndpointList; i < chunks; i++ {
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
