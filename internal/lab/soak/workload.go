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
	maxFirstRequestDelay = 1200 * time.Millisecond // longest wait before the first request; readTimeout of gateways: 2.5 s
	maxThinkTime         = 150 * time.Millisecond  // longest pause between two requests of a client
	redialInterval       = 20 * time.Millisecond   // pause of a client after it could not open a connection
	idleConnInterval     = 5 * time.Millisecond    // pause before each idle connection is opened
	maxPieceGap          = 150 * time.Millisecond  // longest pause between two pieces of a slow request
	maxBodyBytes         = 2000
	maxLongBodyBytes     = 32 << 10         // replaces maxBodyBytes in plans with bad clients, which compete for memory
	minResendTimeout     = time.Millisecond // shortest remaining timeout with which a request is sent again
)

// anyGateway is the value of dialGateway's parameter "excluded" that excludes no gateway.
const anyGateway = -1

// runClient runs one client, which opens one connection after another and uses each connection for as long as the
// connection stays open.
func (r *runner) runClient(ctx context.Context, number uint64) {
	rng := rand.New(rand.NewPCG(r.plan.Seed, 10_000+number))
	for ctx.Err() == nil {
		conn := r.dialGateway(rng, anyGateway)
		if conn == nil {
			ctxtime.Sleep(ctx, redialInterval)
			continue
		}
		r.useConn(ctx, rng, conn)
	}
}

// useConn sends requests on a connection, one at a time, while the connection stays open and until ctx ends. Then it
// closes the connection.
func (r *runner) useConn(ctx context.Context, rng *rand.Rand, conn *Conn) {
	defer conn.Close()
	if rng.IntN(3) == 0 {
		ctxtime.Sleep(ctx, randomDuration(rng, 0, maxFirstRequestDelay))
	}
	for reusable := true; reusable && ctx.Err() == nil && !conn.PeerClosed(); {
		reusable = r.sendWithResend(rng, conn)
		ctxtime.Sleep(ctx, randomDuration(rng, 0, maxThinkTime))
	}
}

// dialGateway opens a connection to a random gateway that is in rotation and not the excluded one. It returns nil if no
// connection can be opened.
func (r *runner) dialGateway(rng *rand.Rand, excluded int) *Conn {
	for _, number := range rng.Perm(len(r.gateways)) {
		n := r.gateways[number]
		processNumber, inRotation := n.rotation()
		if !inRotation || number == excluded {
			continue
		}
		if conn, err := Dial(r.clock, n.clientAddress(), number, processNumber); err == nil {
			conn.proxy = n.proxy
			return conn
		}
	}
	return nil
}

// sendWithResend sends a request. If mayResend allows a resend, sendWithResend sends the request once more on a
// connection to another gateway, unless no connection can be opened or less than minResendTimeout of the timeout is
// left. The result reusable reports whether another request may be sent on conn.
func (r *runner) sendWithResend(rng *rand.Rand, conn *Conn) (reusable bool) {
	request := r.nextRequest(rng)
	attempt, reusable := conn.Do(request)
	r.recordAttempt(attempt)
	if !r.mayResend(attempt) {
		return reusable
	}
	secondConn := r.dialGateway(rng, conn.gateway)
	if secondConn == nil {
		return false
	}
	defer secondConn.Close()
	request.DisconnectAfter = 0
	request.Timeout -= attempt.EndedAt - attempt.SentAt
	if request.Timeout < minResendTimeout {
		return false
	}
	resend, _ := secondConn.Do(request)
	resend.Resent = true
	r.recordAttempt(resend)
	return false
}

// mayResend reports whether a client may send a request again. The request must have been sent completely, and the
// connection must have ended without any byte of a response and without a disconnect of the client. A request to a
// process that got a hard kill is not sent again, since it may have been executed.
func (r *runner) mayResend(attempt ClientAttempt) bool {
	answered := attempt.Status != 0 || attempt.ResponseStarted
	sent := attempt.SentAt != 0
	if answered || !sent || attempt.Disconnected || isTimeout(attempt.Err) {
		return false
	}
	return !r.gateways[attempt.Gateway].wasHardKilled(attempt.ProcessNumber)
}

// recordAttempt adds a client attempt to the records of the run.
func (r *runner) recordAttempt(attempt ClientAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clientAttempts = append(r.clientAttempts, attempt)
}

// nextRequest generates the next request at random.
func (r *runner) nextRequest(rng *rand.Rand) Request {
	class := r.plan.Classes[rng.IntN(len(r.plan.Classes))]
	request := Request{ID: r.nextRequestID(), Class: class.Name, Method: "GET", Timeout: class.Deadline}
	if class.Idempotency != Idempotent {
		request.Method = "POST"
		request.BodyBytes = 1 + rng.IntN(r.longestBody())
	}
	if class.Idempotency == IdempotentByKey {
		request.Key = request.ID
	}
	switch rng.IntN(12) {
	case 0, 1: // the client writes slowly
		request.Pieces = 2 + rng.IntN(4)
		request.PieceGap = randomDuration(rng, 0, maxPieceGap)
	case 2: // the client disconnects
		request.DisconnectAfter = randomDuration(rng, time.Millisecond, class.Deadline)
	}
	return request
}

// longestBody returns the largest size of a request's body in bytes.
func (r *runner) longestBody() int {
	if r.plan.BadClients > 0 {
		return maxLongBodyBytes
	}
	return maxBodyBytes
}

// nextRequestID returns an id that no other request of the run has.
func (r *runner) nextRequestID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestCount++
	return fmt.Sprintf("%016x", r.requestCount)
}

// holdIdleConns opens an idle connection to a gateway every idleConnInterval and holds the newest plan.IdleConns of
// these connections. It keeps opening connections because the gateway closes idle connections.
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
			conns[next].Close() // the oldest connection, which the gateway has probably closed already
		}
		conns[next], _ = net.DialTimeout("tcp", n.options.Listen, dialTimeout) // nil after an error
	}
}
