package gateway

import (
	"context"

	"amberlb/policy"
)

// endpoint is one incarnation of a backend at one address. All of its connections end with it.
type endpoint struct {
	address   string
	startedAt float64 // when the backend's process started, in seconds of Unix time

	ctx    context.Context // ends as the endpoint is retired; dials depend on it
	cancel context.CancelFunc

	// The mutex of connectionPools guards what follows.
	conns     map[*backendConn]struct{} // the open ones, idle and in use
	idleConns []*backendConn            // the idle ones among them, the most recently used last
	retired   bool                      // no connection is added or put back any more
}

func newEndpoint(address string, startedAt float64) *endpoint {
	e := &endpoint{address: address, startedAt: startedAt, conns: map[*backendConn]struct{}{}}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// updateEndpoint tells where a ready backend is. A new start or address retires the connections of the old one.
func (p *connectionPools) updateEndpoint(id policy.BackendID, address string, startedAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.endpoints[id]
	if old != nil && old.address == address && old.startedAt >= startedAt {
		return
	}
	if old != nil {
		restarted := old.startedAt < startedAt // what an earlier incarnation has in flight will never be answered
		p.retire(old, restarted)
	}
	p.endpoints[id] = newEndpoint(address, startedAt)
}

// removeEndpoint ends all new sending to a backend that drains or is gone, and the dials to it. What is in flight
// there may still be answered.
func (p *connectionPools) removeEndpoint(id policy.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if removed := p.endpoints[id]; removed != nil {
		p.retire(removed, false)
		delete(p.endpoints, id)
	}
}

// retire ends an endpoint's dials and its idle connections, and closes those in use if closeInUse is set. Those in use
// stay in the table until their attempts discard them. The caller holds mu.
func (p *connectionPools) retire(e *endpoint, closeInUse bool) {
	e.retired = true
	e.cancel()
	for conn := range e.conns {
		if closeInUse || conn.isIdle() {
			conn.Close()
		}
	}
	for _, conn := range e.idleConns {
		p.untrack(conn)
	}
	e.idleConns = nil
}
