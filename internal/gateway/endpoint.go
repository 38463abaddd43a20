package gateway

import (
	"context"
	"slices"

	"amberlb/policy"
)

// endpoint is one incarnation of a backend: one run of the backend's process, at one address. When the backend
// restarts, moves or is removed, its endpoint is retired. No new request uses the connections of a retired endpoint.
type endpoint struct {
	address   string
	startedAt float64 // start of the backend's process, in Unix seconds

	ctx    context.Context // ends when the endpoint is retired, which ends the dials to the endpoint
	cancel context.CancelFunc

	// The mutex of connectionPools guards the fields below.
	conns     map[*backendConn]struct{} // open connections, idle or in use
	idleConns []*backendConn            // the idle connections of conns, the most recently used last
	retired   bool                      // no connection may be added to conns or idleConns
}

func newEndpoint(address string, startedAt float64) *endpoint {
	e := &endpoint{address: address, startedAt: startedAt, conns: map[*backendConn]struct{}{}}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// updateEndpoint sets the address of a ready backend and the time at which its process started. If the address or the time
// has changed, the old endpoint is retired. A time of 0 only says that the process started long ago. Connections to the
// same address that were dialed after the new process had started lead to the new process, and are kept.
func (p *connectionPools) updateEndpoint(id policy.BackendID, address string, startedAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.endpoints[id]
	restarted := old != nil && startedAt != 0 && old.startedAt != startedAt
	if old != nil && old.address == address && !restarted {
		return
	}
	updated := newEndpoint(address, startedAt)
	if old != nil {
		if restarted && old.address == address {
			old.moveConnsDialedSince(startedAt, updated)
		}
		p.retire(old, restarted) // the old process is gone, so requests in flight there get no response
	}
	p.endpoints[id] = updated
}

// moveConnsDialedSince moves the connections that were dialed at a time, in Unix seconds, or later to another endpoint.
// The caller holds the mutex of connectionPools.
func (e *endpoint) moveConnsDialedSince(since float64, to *endpoint) {
	dialedSince := func(conn *backendConn) bool { return conn.dialedAt >= since }
	for conn := range e.conns {
		if dialedSince(conn) {
			delete(e.conns, conn)
			to.conns[conn] = struct{}{}
			conn.endpoint = to
		}
	}
	for _, conn := range e.idleConns {
		if dialedSince(conn) {
			to.idleConns = append(to.idleConns, conn)
		}
	}
	e.idleConns = slices.DeleteFunc(e.idleConns, dialedSince)
}

// removeEndpoint retires the endpoint of a backend that is draining or gone. No new attempt is sent to the endpoint,
// and dials to it end. Attempts that have a connection may still get their responses.
func (p *connectionPools) removeEndpoint(id policy.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if removed := p.endpoints[id]; removed != nil {
		p.retire(removed, false)
		delete(p.endpoints, id)
	}
}

// retire marks an endpoint as retired, ends its dials and closes its idle connections. If closeInUse is true, it also
// closes the connections in use. Connections in use stay in endpoint.conns until their attempts give them back. The
// caller holds mu.
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
