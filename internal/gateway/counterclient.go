package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

const (
	counterStreams = 8   // the counter allows 32 connections of a gateway: this many streams with maxConnsPerStream each
	maxQueuedCalls = 512 // calls that wait for one stream, and calls in flight on one connection
)

// counterCall is one addition on the counter. The event loop makes it. Once queued, it is owned by the
// stream's goroutine until it is written, and then by its connection's reader; the owner at its end calls
// report. Meanwhile the loop uses the atomic fields, its own ones, and those that don't change.
type counterCall struct {
	id      uint64 // the engine's
	key     uint64 // the counter's name
	amount  float64
	ttl     time.Duration // how long the counter keeps the name
	sentAt  float64       // clock time at which the loop made the call
	idleFor time.Duration // how long its connection was idle before it; 0: it was not

	// report tells what became of the call, once, from the goroutine that owns it.
	report func(call *counterCall, outcome policy.Outcome, total float64)

	abandoned       atomic.Bool // set by the loop: nobody waits for it, and it is not to be written any more
	responseStarted atomic.Bool // set by the reader: its answer has begun to arrive

	// The loop's own:
	ended   bool
	outcome policy.Outcome
	total   float64
}

// counterClient makes calls over a few pipelined connections. The calls for one name keep to one stream, so
// they are sent in order; a stream leaves a connection that is stuck for a new one.
type counterClient struct {
	address       atomic.Pointer[string]
	timeout       time.Duration // of a call, and of a dial
	idleEstimator idleLimitEstimator
	queues        [counterStreams]chan *counterCall // one for each stream
	readers       sync.WaitGroup                    // one for each connection
}

// newCounterClient makes a client of the counter at an address. The timeout is that of a call.
func newCounterClient(address string, timeout time.Duration) *counterClient {
	c := &counterClient{timeout: timeout}
	c.setAddress(address)
	for i := range c.queues {
		c.queues[i] = make(chan *counterCall, maxQueuedCalls)
	}
	return c
}

// setAddress directs all further calls to another address. Calls in flight to the old one may still be
// answered there.
func (c *counterClient) setAddress(address string) { c.address.Store(&address) }

// enqueue queues a call without waiting. It returns false if the queue is full; the call stays the caller's
// then.
func (c *counterClient) enqueue(call *counterCall) bool {
	select {
	case c.queues[call.key%counterStreams] <- call:
		return true
	default:
		return false
	}
}

// run runs the streams until ctx ends, and returns when all their connections have ended.
func (c *counterClient) run(ctx context.Context) {
	var streams sync.WaitGroup
	for _, queue := range c.queues {
		streams.Go(func() { c.runStream(ctx, queue) })
	}
	streams.Wait()
	c.readers.Wait()
}

// runStream writes the calls of one queue until ctx ends.
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
