package gateway

import (
	"errors"
	"net"
	"syscall"
)

// isOpenWithoutInput reports, without blocking, whether a connection is open and has no bytes to read. It allows a
// caller to check a connection before a write: writing to a connection that the peer has closed ends in a reset, which
// does not prove that the write had no effect.
func isOpenWithoutInput(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, syscall.EAGAIN)
}

// peerClosed reports, without blocking, whether the peer has closed the connection or its sending side. It can't
// detect a close while there are unread bytes.
func peerClosed(conn net.Conn) bool {
	n, err := peek(conn)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// peek returns the number of bytes, at most one, that can be read from a connection. It returns 0 without an error at
// the end of the stream, and EAGAIN if nothing has arrived.
func peek(conn net.Conn) (n int, err error) {
	var first [1]byte
	return receive(conn, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}

// receive reads from the socket of a connection into buffer, regardless of the connection's deadline. The flags must
// make the call non-blocking. It returns 0 without an error at the end of the stream, and EAGAIN if nothing has
// arrived or the connection has no socket.
func receive(conn net.Conn, buffer []byte, flags int) (n int, err error) {
	socketConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := socketConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	// Control is used instead of Read. Read would fail if the connection's deadline has passed, and would wait for a
	// concurrent reader.
	closedErr := raw.Control(func(fd uintptr) { n, _, err = syscall.Recvfrom(int(fd), buffer, flags) })
	if closedErr != nil {
		return 0, closedErr
	}
	return max(n, 0), err // n is -1 if there is an error
}
