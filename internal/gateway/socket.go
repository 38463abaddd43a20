package gateway

import (
	"errors"
	"net"
	"syscall"
)

// isQuiet looks, without waiting, whether an idle connection still stands and has
// nothing to say. What is written to one that the other side has closed
// ends as a reset, which is no proof that it had no effect.
func isQuiet(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, syscall.EAGAIN)
}

// peerClosed looks, without waiting, whether the other side has closed a connection or
// its sending. It is not seen behind bytes that nobody has read.
func peerClosed(conn net.Conn) bool {
	n, err := peek(conn)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// peek tells how many bytes, at most one, wait on a connection: 0 at its end, and
// EAGAIN where nothing has come.
func peek(conn net.Conn) (n int, err error) {
	var b [1]byte
	return receive(conn, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}

// receive reads from the socket of a connection, whatever its deadline is. The flags must keep it from waiting. n is 0
// with no error at the connection's end; a connection without a socket has nothing.
func receive(conn net.Conn, p []byte, flags int) (n int, err error) {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	// Control and not Read, which would fail for a time-out that passed since the
	// last use, and would wait for a reader.
	closed := raw.Control(func(fd uintptr) { n, _, err = syscall.Recvfrom(int(fd), p, flags) })
	n = max(n, 0) // -1 beside an error
	if closed != nil {
		return 0, closed
	}
	return n, err
}
