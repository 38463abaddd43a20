package soak

import (
	"net"
	"sync"
)

// connSet holds the open connections of a stand-in, so that they can be ended together. The zero value is empty; its
// methods may be called from many goroutines.
type connSet struct {
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// add takes connections in. Once the set is closed it closes them instead, and returns false.
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

// remove closes connections and forgets them.
func (s *connSet) remove(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
		delete(s.conns, conn)
	}
}

// close closes all, also those that are still to come.
func (s *connSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}
