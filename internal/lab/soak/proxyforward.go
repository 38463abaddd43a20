package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyBufferBytes is the largest size of a piece.
const proxyBufferBytes = 16 << 10

// forward forwards one connection until both of its directions have ended.
func (p *Proxy) forward(downstream *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		p.recordFailedDial(downstream.RemoteAddr())
		downstream.Close()
		return
	}
	upstream := conn.(*net.TCPConn)
	if !p.conns.add(downstream, upstream) {
		return
	}
	defer p.conns.remove(downstream, upstream)
	if p.randomlyTrue(p.faults.ResetShare) {
		resetTimer := time.AfterFunc(p.randomDelay(p.faults.MaxResetDelay), func() { resetConns(downstream, upstream) })
		defer resetTimer.Stop()
	}
	blackholed := p.blackholeStarted()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyOneWay(upstream, downstream, blackholed) })
	directions.Go(func() { p.copyOneWay(downstream, upstream, blackholed) })
	directions.Wait()
}

// copyOneWay forwards one direction of a connection, including the end or reset of the connection. Once the channel
// blackholed is closed, copyOneWay drops the bytes that it reads.
func (p *Proxy) copyOneWay(to, from *net.TCPConn, blackholed <-chan struct{}) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, readErr := from.Read(buffer)
		if isClosed(blackholed) {
			if readErr != nil {
				resetConns(to, from)
				return
			}
			continue
		}
		if n > 0 && p.writePiece(to, buffer[:n]) != nil {
			from.Close() // the receiver has closed, so further bytes can't be forwarded
			return
		}
		switch {
		case errors.Is(readErr, io.EOF):
			to.CloseWrite()
			return
		case readErr != nil:
			resetConns(to, from)
			return
		}
	}
}

// isClosed reports whether a channel is closed. Nothing may ever be sent on the channel.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// writePiece forwards a piece. Depending on p.faults, it delays the piece and splits it into two parts.
func (p *Proxy) writePiece(to net.Conn, piece []byte) error {
	if p.faults.MaxDelay > 0 {
		time.Sleep(p.randomDelay(p.faults.MaxDelay))
	}
	if len(piece) > 1 && p.randomlyTrue(p.faults.SplitShare) {
		first := 1 + int(p.randomDelay(time.Duration(len(piece)-1)))
		if _, err := to.Write(piece[:first]); err != nil {
			return err
		}
		piece = piece[first:]
		time.Sleep(p.randomDelay(p.faults.MaxDelay))
	}
	_, err := to.Write(piece)
	return err
}

// resetConns closes connections with a TCP reset.
func resetConns(conns ...*net.TCPConn) {
	for _, conn := range conns {
		conn.SetLinger(0)
		conn.Close()
	}
}
