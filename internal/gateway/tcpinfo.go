package gateway

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpState is a value of unix.TCPInfo.State, as in Linux's net/tcp_states.h.
type tcpState uint8

// States in which the gateway asks for TCP_INFO.
const (
	tcpEstablished tcpState = 1
	tcpCloseWait   tcpState = 8 // the peer has closed its sending side
	tcpListen      tcpState = 10
)

// tcpInfo returns the kernel's TCP_INFO of a socket.
func tcpInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, fmt.Errorf("get TCP_INFO: %w", controlErr)
	}
	if optionErr != nil {
		return nil, fmt.Errorf("get TCP_INFO: %w", optionErr)
	}
	return info, nil
}

// sinceLastReceived returns the time since the kernel received the last bytes of a connection, to a few milliseconds; 0
// if the kernel does not tell.
func sinceLastReceived(conn net.Conn) time.Duration {
	socketConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socketConn.SyscallConn()
	if err != nil {
		return 0
	}
	info, err := tcpInfo(raw)
	if err != nil {
		return 0
	}
	switch tcpState(info.State) {
	case tcpEstablished, tcpCloseWait:
		return time.Duration(info.Last_data_recv) * time.Millisecond
	}
	return 0
}
