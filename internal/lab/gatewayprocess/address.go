package gatewayprocess

import (
	"net"
	"os"
	"sync/atomic"
)

// Each process takes addresses of a network 127.N.0.0/16, where N is one of networkCount from firstNetwork on, so that
// those of two processes differ most likely.
const (
	firstNetwork = 16
	networkCount = 200
)

// addressCount counts the calls of FreeAddress.
var addressCount atomic.Uint32

// FreeAddress finds an address that nothing listens at. Each call takes another one of 127.0.0.0/8, clear of 127.0.0.1: a
// port that is free there for a moment may be taken by a connection that some program makes.
func FreeAddress() (string, error) {
	count := addressCount.Add(1)
	network := firstNetwork + os.Getpid()%networkCount
	ip := net.IPv4(127, byte(network), byte(count>>8), byte(count))
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
