package gateway

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpState is a value of unix.TCPInfo.State, as in Linux's net/tcp_states.h.
type tcpState uint8

// States in which the gateway asks for TCP_INFO.
const (
	tcpListen tcpState = 10
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
