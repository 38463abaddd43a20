package gateway

import (
	"errors"
	"net"
	"syscall"
)

// isQuiet reports, without waiting, whether an idle connection is still open and has nothing to read. What is written
// to one that the peer has closed ends as a reset, which does not prove that it had no effect.
func isQuiet(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, syscall.EAGAIN)
}

// peerClosed reports, without waiting, whether the peer has closed a connection or its sending. It can't see that
// behind bytes that nobody has read.
func peerClosed(conn net.Conn) bool {
	n, err := peek(conn)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// peek returns how many bytes, at most one, wait on a connection: 0 without an error at its end, and EAGAIN where
// nothing has come.
func peek(conn net.Conn) (n int, err error) {
	var first [1]byte
	return receive(conn, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}

// receive reads from the socket of a connection into buffer, whatever the connection's deadline is. The flags must
// keep it from waiting. It returns 0 without an error at the connection's end, and EAGAIN where nothing has come or the
// connection has no socket.
func receive(conn net.Conn, buffer []byte, flags int) (n int, err error) {
	socketConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := socketConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	// Control and not Read, which would fail for a deadline that has passed since the last use, and would wait for a
	// reader.
	closedErr := raw.Control(func(fd uintptr) { n, _, err = syscall.Recvfrom(int(fd), buffer, flags) })
	if closedErr != nil {
		return 0, closedErr
	}
	return max(n, 0), err // -1 beside an error
}
