package gateway

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// fullBacklogBackend is a backend with a full accept backlog: dialing it hangs until it accepts a connection. The
// fillers are the connections that fill the backlog.
type fullBacklogBackend struct {
	fd      int
	address string
	fillers []net.Conn
}

// newFullBacklogBackend listens with the smallest possible backlog and fills the backlog.
func newFullBacklogBackend(t *testing.T) *fullBacklogBackend {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	b := &fullBacklogBackend{fd: fd, address: fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)}
	for {
		conn, err := net.DialTimeout("tcp", b.address, 200*time.Millisecond)
		if err != nil {
			return b
		}
		t.Cleanup(func() { conn.Close() })
		b.fillers = append(b.fillers, conn)
	}
}

// accept returns the next connection that is not a filler, and a reader for the connection.
func (b *fullBacklogBackend) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	for {
		conn := b.acceptAny(t)
		if !b.isFiller(conn) {
			conn.SetDeadline(time.Now().Add(testTimeout))
			return conn, bufio.NewReader(conn)
		}
	}
}

// acceptAny returns the next connection from the backlog, which may be a filler.
func (b *fullBacklogBackend) acceptAny(t *testing.T) net.Conn {
	t.Helper()
	fd, _, err := syscall.Accept(b.fd)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "accepted")
	conn, err := net.FileConn(file)
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// isFiller reports whether an accepted connection is one of the fillers.
func (b *fullBacklogBackend) isFiller(conn net.Conn) bool {
	return slices.ContainsFunc(b.fillers, func(filler net.Conn) bool {
		return filler.LocalAddr().String() == conn.RemoteAddr().String()
	})
}

// isDialing reports whether this process is dialing an address.
func isDialing(t *testing.T, address string) bool {
	t.Helper()
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Contains(string(table), fmt.Sprintf("0100007F:%04X 02 ", n)) // SYN_SENT
}

// awaitDialing waits until this process is dialing an address, for testTimeout at most.
func awaitDialing(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !isDialing(t, address) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}
