package gatewayprocess

import (
	"net"
	"os"
	"sync/atomic"
)

// Each process takes addresses from a network 127.N.0.0/16. N depends on the process id, and is at least firstNetwork
// and below firstNetwork + networkCount. The addresses of two processes therefore most likely differ.
const (
	firstNetwork = 16
	networkCount = 200
)

// addressCount counts the calls of FreeAddress.
var addressCount atomic.Uint32

// FreeAddress returns a host and port that no program listens on. Each call returns a different address of 127.0.0.0/8.
// It never returns a port of 127.0.0.1, since outgoing connections of any program may take the port before the caller
// listens on it.
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
