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

// crowded is a backend whose backlog is full, so that dials to it hang until it is
// freed.
type crowded struct {
	fd      int
	address string
	fillers []net.Conn
}

func newCrowded(t *testing.T) *crowded {
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
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	c := &crowded{fd: fd, address: fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)}
	for {
		conn, err := net.DialTimeout("tcp", c.address, 200*time.Millisecond)
		if err != nil {
			return c
		}
		t.Cleanup(func() { conn.Close() })
		c.fillers = append(c.fillers, conn)
	}
}

// accept returns the next connection but those that filled the backlog.
func (c *crowded) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	for {
		fd, _, err := syscall.Accept(c.fd)
		if err != nil {
			t.Fatal(err)
		}
		f := os.NewFile(uintptr(fd), "accepted")
		conn, err := net.FileConn(f)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if filler := slices.ContainsFunc(c.fillers, func(f net.Conn) bool {
			return f.LocalAddr().String() == conn.RemoteAddr().String()
		}); !filler {
			conn.SetDeadline(time.Now().Add(patience))
			return conn, bufio.NewReader(conn)
		}
	}
}

// dialling tells whether somebody waits for a connection to an address.
func dialling(t *testing.T, address string) bool {
	t.Helper()
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Contains(string(table), fmt.Sprintf("0100007F:%04X 02 ", n)) // SYN_SENT
}
