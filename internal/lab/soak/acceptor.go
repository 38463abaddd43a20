package soak

import (
	"net"
	"sync"
)

// acceptor accepts the connections of a stand-in on a port of loopback and serves each on a goroutine of its own. Its
// methods may be called from many goroutines.
type acceptor struct {
	listener net.Listener
	conns    connSet        // closed by Close, so that the handlers end
	serving  sync.WaitGroup // the accept loop and the handlers
}

// listen starts listening on a port that the system chooses.
func (a *acceptor) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	a.listener = listener
	return err
}

// start begins to accept. handle adds its connections to a.conns and removes them as it returns.
func (a *acceptor) start(handle func(net.Conn)) {
	a.serving.Go(func() {
		for {
			conn, err := a.listener.Accept()
			if err != nil {
				return
			}
			a.serving.Go(func() { handle(conn) })
		}
	})
}

// Address is where the stand-in listens.
func (a *acceptor) Address() string { return a.listener.Addr().String() }

// Close closes all connections and waits for their goroutines.
func (a *acceptor) Close() {
	a.listener.Close()
	a.conns.close()
	a.serving.Wait()
}

// connSet holds the open connections of a stand-in, so that they can be closed together. The zero value is empty; its
// methods may be called from many goroutines.
type connSet struct {
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// add adds connections. Once the set is closed it closes them instead, and returns false.
func (s *connSet) add(conns ...net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		for _, conn := range conns {
			conn.Close()
		}
		return false
	}
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	for _, conn := range conns {
		s.conns[conn] = struct{}{}
	}
	return true
}

// remove closes connections and takes them out of the set.
func (s *connSet) remove(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(s.conns, conn)
	}
}

// close closes all connections, also those that are added later.
func (s *connSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}
