package gateway

import (
	"context"

	"amberlb/policy"
)

// endpoint is one life of a backend at one address. All of its connections end
// with it.
type endpoint struct {
	address   string
	startedAt float64
	ctx       context.Context // ends with the target; dials hang on it
	cancel    context.CancelFunc
	conns     map[*backendConn]struct{}
	idleConns []*backendConn // the most recently used last
	retired   bool
}

// updateEndpoint tells where a ready backend is. A new start or address retires the
// connections of the old.
func (p *connectionPools) updateEndpoint(id policy.BackendID, address string, startedAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.endpoints[id]
	if old != nil && old.address == address && old.startedAt >= startedAt {
		return
	}
	if old != nil {
		// What is out at an earlier life will never be answered.
		p.retire(old, old.startedAt < startedAt)
	}
	t := &endpoint{address: address, startedAt: startedAt, conns: map[*backendConn]struct{}{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	p.endpoints[id] = t
}

// removeEndpoint ends all new sending to a backend that drains or is gone, dials that
// wait among it. What is out there may still be answered.
func (p *connectionPools) removeEndpoint(id policy.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.endpoints[id]; t != nil {
		p.retire(t, false)
		delete(p.endpoints, id)
	}
}

func (p *connectionPools) retire(t *endpoint, closeInUse bool) {
	t.retired = true
	t.cancel()
	for c := range t.conns {
		if closeInUse || !c.idleSince.IsZero() {
			c.Close()
		}
	}
	for _, c := range t.idleConns {
		p.forget(c)
	}
	t.idleConns = nil
}
