package gateway

import (
	"context"

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

// updateEndpoint sets the address of a ready backend and the time at which its process started. If the address has
// changed or startedAt is later than before, the old endpoint is retired.
func (p *connectionPools) updateEndpoint(id policy.BackendID, address string, startedAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.endpoints[id]
	if old != nil && old.address == address && old.startedAt >= startedAt {
		return
	}
	if old != nil {
		restarted := old.startedAt < startedAt // the old process is gone, so requests in flight get no response
		p.retire(old, restarted)
	}
	p.endpoints[id] = newEndpoint(address, startedAt)
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
