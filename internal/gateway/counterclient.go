package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

const (
	counterStreams = 8   // 8 * maxConnsPerStream is 32, the number of connections that the counter allows a gateway
	maxQueuedCalls = 512 // maximum number of calls queued for a stream, and of calls in a connection's pipeline
)

// counterCall is a call to the counter service, which adds an amount to the total of a key and returns the new total.
// The event loop makes the call. After enqueue, the stream's goroutine owns it until it has been written, and then the
// reader of its connection does; whichever goroutine ends the call calls report. Meanwhile the loop may use the atomic
// fields, the fields that it owns, and the fields that don't change.
type counterCall struct {
	id      uint64 // policy.CounterAdd.Call
	key     uint64 // names the total to add to
	amount  float64
	ttl     time.Duration // how long the counter keeps the key
	sentAt  float64       // when the loop made the call, in seconds of its clock
	idleFor time.Duration // how long the connection was idle before the call; 0 if it was new or in use

	// report is called once, by the goroutine that owns the call, with the outcome. total is 0 unless the outcome
	// is policy.Served.
	report func(call *counterCall, outcome policy.Outcome, total float64)

	abandoned       atomic.Bool // set by the loop at the call's deadline: if it is still queued, it is not written
	responseStarted atomic.Bool // set by the reader: the response has begun to arrive

	// Owned by the loop:
	ended   bool
	outcome policy.Outcome
	total   float64
}

// counterClient sends calls to the counter over a few streams, each of which pipelines its calls on one connection. All
// calls for a key use the same stream, so they are sent in order. When a stream's connection is blocked by a response
// that doesn't arrive, the stream opens a new one.
type counterClient struct {
	address       atomic.Pointer[string]
	timeout       time.Duration // timeout of a call, and of a dial
	idleEstimator idleLimitEstimator
	queues        [counterStreams]chan *counterCall // one per stream
	readers       sync.WaitGroup                    // the reader goroutines, one per connection
}

// newCounterClient returns a client for the counter at the given address. timeout is the timeout of a call.
func newCounterClient(address string, timeout time.Duration) *counterClient {
	c := &counterClient{timeout: timeout}
	c.setAddress(address)
	for i := range c.queues {
		c.queues[i] = make(chan *counterCall, maxQueuedCalls)
	}
	return c
}

// setAddress makes further calls go to another address. Calls in flight to the old address may still get their
// responses.
func (c *counterClient) setAddress(address string) { c.address.Store(&address) }

// enqueue passes a call to its stream without blocking. It returns false if the queue is full; the caller then still
// owns the call.
func (c *counterClient) enqueue(call *counterCall) bool {
	select {
	case c.queues[call.key%counterStreams] <- call:
		return true
	default:
		return false
	}
}

// run runs the streams until ctx ends, and returns when all their connections are closed.
func (c *counterClient) run(ctx context.Context) {
	var streams sync.WaitGroup
	for _, queue := range c.queues {
		streams.Go(func() { c.runStream(ctx, queue) })
	}
	streams.Wait()
	c.readers.Wait()
}

// runStream sends the calls of one queue until ctx ends.
func (c *counterClient) runStream(ctx context.Context, queue <-chan *counterCall) {
	stream := &counterStream{client: c, lastUsed: time.Now()}
	defer stream.close()
	idleTicker := time.NewTicker(counterIdlePollInterval)
	defer idleTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idleTicker.C:
			stream.retireIdle()
		case call := <-queue:
			stream.send(ctx, call)
		}
	}
}
