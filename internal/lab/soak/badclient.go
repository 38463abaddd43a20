package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"amberlb/internal/lab/ctxtime"
)

const (
	incompleteBodyBytes = 64 << 10        // stated length of an incomplete request's body; the longest that is allowed
	badClientPause      = 5 * time.Second // longest wait of a bad client for an answer or a close
	// badClientLimit is the time from connecting within which a client with an incomplete request must get an answer or
	// a close.
	badClientLimit = 3 * time.Second
)

// IncompleteRequest is the record of a request that a bad client sent without its last byte. Times are on the run's
// clock.
type IncompleteRequest struct {
	Gateway     int           // number of the gateway
	ConnectedAt time.Duration // time at which the connection was established
	EndedAt     time.Duration // time of the first byte of an answer or of the connection's end; 0: neither came
}

// runBadClient sends a gateway one incomplete request after another, each on a new connection, until ctx ends.
func (r *runner) runBadClient(ctx context.Context, n *gatewayNode) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", n.options.Listen, dialTimeout)
		if err != nil {
			ctxtime.Sleep(ctx, redialInterval)
			continue
		}
		record := r.sendIncomplete(ctx, conn)
		record.Gateway = n.number
		if ctx.Err() == nil {
			r.recordIncomplete(record)
		}
	}
}

// sendIncomplete sends a request without its last byte, and waits for an answer, the connection's end or the end of ctx.
func (r *runner) sendIncomplete(ctx context.Context, conn net.Conn) IncompleteRequest {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	record := IncompleteRequest{ConnectedAt: r.clock.Now()}
	class := r.plan.Classes[len(r.plan.Classes)-1]
	request := Request{ID: "incomplete-" + r.nextRequestID(), Class: class.Name, Method: "POST",
		BodyBytes: incompleteBodyBytes, Timeout: class.Deadline}
	text := request.encode()
	conn.SetDeadline(time.Now().Add(badClientPause))
	io.WriteString(conn, text[:len(text)-1])
	_, err := conn.Read(make([]byte, 1))
	if !isTimeout(err) {
		record.EndedAt = r.clock.Now()
	}
	return record
}

// recordIncomplete adds an incomplete request to the records of the run.
func (r *runner) recordIncomplete(record IncompleteRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incompleteRequests = append(r.incompleteRequests, record)
}

// checkIncomplete checks that an incomplete request was ended in time.
func (c *checker) checkIncomplete(record IncompleteRequest) {
	c.verdict.Incomplete++
	took := record.EndedAt - record.ConnectedAt
	if record.EndedAt != 0 && took <= badClientLimit+timingMargin {
		return
	}
	detail := fmt.Sprintf("gateway %d: an incomplete request, connected at %.3f s, got no answer or close until %.3f s",
		record.Gateway, record.ConnectedAt.Seconds(), record.EndedAt.Seconds())
	c.verdict.Violations = append(c.verdict.Violations, Violation{Invariant: IncompleteKept, Detail: detail})
}
