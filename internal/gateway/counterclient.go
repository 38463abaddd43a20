package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

const (
	counterStreams = 8   // number of streams; see counterClient for the reason
	maxQueuedCalls = 512 // maximum number of calls queued for a stream, and of calls in a connection's pipeline
)

// counterCall is a call to the counter service, which adds an amount to the total of a key and returns the new total.
// The event loop creates the call. After enqueue, the stream's goroutine owns the call until the call has been written.
// Afterwards the reader of the connection owns the call. The loop may still use the atomic fields, the fields that the
// loop owns, and the fields that don't change.
type counterCall struct {
	id      uint64 // policy.CounterAdd.CallID
	key     uint64 // name of the total to which the amount is added
	amount  float64
	ttl     time.Duration // time for which the counter keeps the key
	sentAt  float64       // time of the call, in seconds of the loop's clock
	idleFor time.Duration // idle time of the connection before the call; 0 if it is new or has calls in flight

	// awaitedSince is the time at which the call's response became the next one of its connection. The reader sets it
	// before it stores the call in counterConn.headCall, through which the stream reads it.
	awaitedSince time.Time

	// report is called at most once, by the goroutine that owns the call, with the call's outcome. total is 0 unless
	// the outcome is policy.Served.
	report func(call *counterCall, outcome policy.Outcome, total float64)

	abandoned       atomic.Bool // set by the loop at the call's deadline; an abandoned call in the queue is not written
	responseStarted atomic.Bool // set by the reader when the response begins to arrive

	// The loop owns the fields below. outcome and total are set when the call ends.
	deadlineTimer *scheduledTimer // nil if the call was not queued
	ended         bool
	outcome       policy.Outcome
	total         float64
}

// counterClient sends calls to the counter over a few streams. Each stream pipelines its calls on one connection. All
// calls for a key use the same stream, so the calls for a key are sent in order. When a stream's connection is blocked
// by a response that doesn't arrive, the stream opens a new connection (see headOfLineBlocked). The counter allows a
// gateway 32 connections, which is counterStreams * maxConnsPerStream.
type counterClient struct {
	address       atomic.Pointer[string]
	timeout       time.Duration // timeout of a call and of a dial
	idleEstimator idleLimitEstimator
	queues        [counterStreams]chan *counterCall // queues of calls, one per stream
	readers       sync.WaitGroup                    // the reader goroutines, one per connection
}

// newCounterClient returns a client for the counter at the given address. timeout is the timeout of a call and of a
// dial.
func newCounterClient(address string, timeout time.Duration) *counterClient {
	c := &counterClient{timeout: timeout}
	c.setAddress(address)
	for i := range c.queues {
		c.queues[i] = make(chan *counterCall, maxQueuedCalls)
	}
	return c
}

// setAddress sets the counter's address for further calls. Calls in flight to the old address may still get their
// responses.
func (c *counterClient) setAddress(address string) { c.address.Store(&address) }

// enqueue passes a call to its stream without blocking. It returns false if the queue is full; in that case the caller
// still owns the call.
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

// runStream sends the calls of one queue, and periodically calls retireIdle, until ctx ends.
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
