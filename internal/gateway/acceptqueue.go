package gateway

import (
	"net"
	"syscall"
)

// acceptQueue is the kernel's queue of the connections of a listener that have not been accepted yet. Connections are
// accepted in the order of their arrival.
type acceptQueue interface {
	// queueLength returns the number of waiting connections without blocking, and false if it is unknown.
	queueLength() (length int, known bool)
}

// acceptQueueOf returns the accept queue of a listener. Its length is always unknown if the listener is neither a socket
// nor an acceptQueue itself.
func acceptQueueOf(listener net.Listener) acceptQueue {
	switch listener := listener.(type) {
	case acceptQueue:
		return listener
	case syscall.Conn:
		if raw, err := listener.SyscallConn(); err == nil {
			return socketAcceptQueue{raw}
		}
	}
	return unknownAcceptQueue{}
}

// unknownAcceptQueue is the accept queue of a listener that does not tell its length.
type unknownAcceptQueue struct{}

func (unknownAcceptQueue) queueLength() (length int, known bool) { return 0, false }

// socketAcceptQueue is the accept queue of a listening socket.
type socketAcceptQueue struct{ raw syscall.RawConn }

// queueLength asks for TCP_INFO, whose field tcpi_unacked is the length of the queue if the socket is listening.
func (q socketAcceptQueue) queueLength() (length int, known bool) {
	info, err := tcpInfo(q.raw)
	if err != nil || tcpState(info.State) != tcpListen {
		return 0, false
	}
	return int(info.Unacked), true
}
