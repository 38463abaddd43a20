package soak

import (
	"net"
	"sync"
)

// acceptor accepts connections for a stand-in on a port of 127.0.0.1, and handles each on its own goroutine. Its methods
// may be called concurrently.
type acceptor struct {
	listener net.Listener
	conns    connSet        // open connections; Close closes them, which ends their handlers
	serving  sync.WaitGroup // counts the goroutines of the accept loop and the handlers
}

// listen starts listening on a port that the system chooses.
func (a *acceptor) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	a.listener = listener
	return err
}

// start starts the accept loop, which calls the function handle for each connection. The function must add its
// connections to a.conns, and remove them before it returns.
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

// Address returns the address on which the stand-in listens.
func (a *acceptor) Address() string { return a.listener.Addr().String() }

// Close stops listening, closes all connections and waits until their goroutines have ended.
func (a *acceptor) Close() {
	a.listener.Close()
	a.conns.close()
	a.serving.Wait()
}

// connSet is a set of the open connections of a stand-in, which can be closed together. The zero value is an empty set.
// Its methods may be called concurrently.
type connSet struct {
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// add adds connections to the set. If the set has been closed, add closes the connections instead and returns false.
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

// remove closes connections and removes them from the set.
func (s *connSet) remove(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(s.conns, conn)
	}
}

// close closes all connections in the set. Connections that are added later are closed at once.
func (s *connSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}
