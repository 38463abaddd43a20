package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"amberlb/internal/lab/ctxtime"
)

const (
	maxFirstRequestDelay = 1200 * time.Millisecond // of a new connection before its first request; the server waits 2.5 s
	maxThinkTime         = 150 * time.Millisecond  // between two requests
	redialInterval       = 20 * time.Millisecond   // until a client looks for one again
	idleConnInterval     = 5 * time.Millisecond    // between two connections of the crowd
	maxBodyBytes         = 2000                    // bytes
)

// runClient is one client: it takes a connection after another, and uses each for as long as it stays open.
func (r *runner) runClient(ctx context.Context, number uint64) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, 10_000+number))
	for ctx.Err() == nil {
		conn := r.dialGateway(rng, -1)
		if conn == nil {
			ctxtime.Sleep(ctx, redialInterval)
			continue
		}
		if rng.IntN(3) == 0 {
			ctxtime.Sleep(ctx, randomDuration(rng, 0, maxFirstRequestDelay))
		}
		for reusable := true; reusable && ctx.Err() == nil && !conn.PeerClosed(); {
			reusable = r.sendWithResend(rng, conn)
			ctxtime.Sleep(ctx, randomDuration(rng, 0, maxThinkTime))
		}
		conn.Close()
	}
}

// dialGateway takes a new connection to a gateway that the front brings clients to, but not the one with the number
// other. It returns nil if there is none.
func (r *runner) dialGateway(rng *rand.Rand, excluded int) *Conn {
	for _, i := range rng.Perm(len(r.gateways)) {
		n := r.gateways[i]
		n.mu.Lock()
		processNumber, inRotation := n.processNumber, n.inRotation
		n.mu.Unlock()
		if !inRotation || i == excluded {
			continue
		}
		if conn, err := Dial(r.clock, n.proxy.Address(), i, processNumber); err == nil {
			conn.proxy = n.proxy
			return conn
		}
	}
	return nil
}

// sendWithResend sends a request and, if its connection ends with no byte of an answer, sends it once more on a new one.
func (r *runner) sendWithResend(rng *rand.Rand, conn *Conn) (reusable bool) {
	req := r.nextRequest(rng)
	attempt, reusable := conn.Do(req)
	r.recordAttempt(attempt)
	if attempt.Status != 0 || attempt.AnswerStarted || attempt.Disconnected || attempt.SentAt == 0 || isTimeout(attempt.Err) || r.killedUnwarned(conn) {
		return reusable
	}
	second := r.dialGateway(rng, conn.gateway)
	if second == nil {
		return false
	}
	defer second.Close()
	req.DisconnectAfter = 0
	if req.Timeout -= attempt.EndedAt - attempt.SentAt; req.Timeout < time.Millisecond {
		return false
	}
	attempt, _ = second.Do(req)
	attempt.Resent = true
	r.recordAttempt(attempt)
	return false
}

// killedUnwarned tells whether the process behind a connection was killed with no warning: what it had taken may have run, and is
// not sent again.
func (r *runner) killedUnwarned(conn *Conn) bool {
	n := r.gateways[conn.gateway]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastKilledUnwarned == conn.processNumber
}

func (r *runner) recordAttempt(s ClientAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clientAttempts = append(r.clientAttempts, s)
}

// nextRequest draws the next request.
func (r *runner) nextRequest(rng *rand.Rand) Request {
	r.mu.Lock()
	r.requestCount++
	id := r.requestCount
	r.mu.Unlock()
	class := r.plan.Classes[rng.IntN(len(r.plan.Classes))]
	req := Request{ID: fmt.Sprintf("%016x", id), Class: class.Name, Method: "GET", Timeout: class.Deadline}
	if class.Idempotency != Idempotent {
		req.Method, req.BodyBytes = "POST", 1+rng.IntN(maxBodyBytes)
	}
	if class.Idempotency == IdempotentByKey {
		req.Key = req.ID
	}
	switch rng.IntN(12) {
	case 0, 1: // slow
		req.Pieces, req.PieceGap = 2+rng.IntN(4), randomDuration(rng, 0, 150*time.Millisecond)
	case 2: // gone
		req.DisconnectAfter = randomDuration(rng, time.Millisecond, class.Deadline)
	}
	return req
}

// holdIdleConns keeps idle connections at a gateway, as many as the plan says.
func (r *runner) holdIdleConns(ctx context.Context, n *gatewayNode) {
	if r.plan.IdleConns == 0 {
		return
	}
	conns := make([]net.Conn, r.plan.IdleConns)
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
	}()
	for next := 0; ctxtime.Sleep(ctx, idleConnInterval); next = (next + 1) % len(conns) {
		if conns[next] != nil {
			conns[next].Close() // the gateway has most likely ended it
		}
		conns[next], _ = net.DialTimeout("tcp", n.options.Listen, dialTimeout) // an error leaves nil
	}
}
