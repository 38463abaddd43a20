package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

const (
	counterStreams          = 8                // streams of calls to the counter, each on a connection of its own
	maxConnsPerStream       = 4                // connections of a stream at most, those that stand still among them
	maxQueuedCalls          = 512              // calls that wait on one stream
	counterIdleTimeout      = 5 * time.Second  // well below the 10 s after which the counter closes
	counterIOTimeout        = 1 * time.Second  // an answer so late is given up with its connection, unless calls have longer
	counterIdlePollInterval = 1 * time.Second  // between looks for idle streams
	maxTotalBytes           = 64               // bytes of a total
	maxCounterTTL           = 60 * time.Second // the counter takes longer ones for this
	minCounterTTL           = time.Millisecond
	countPath               = "/v1/count/"
	maxCounterResponseBytes = 16 << 10 // bytes of an answer with its headers
)

// counterCall is one addition on the counter.
type counterCall struct {
	id      uint64 // the module's
	key     uint64
	amount  float64
	ttl     time.Duration
	sentAt  float64
	idleFor time.Duration // of its connection before it; 0: none

	// The loop's own:
	ended   bool
	outcome policy.Outcome
	total   float64

	abandoned       atomic.Bool // by the loop: not to be written any more
	responseStarted atomic.Bool // its answer has begun to come
	report          func(*counterCall, policy.Outcome, float64)
}

// counterClient makes calls over a few pipelined connections. The calls for one name
// keep to one stream, so they go out in order; a stream leaves a connection that
// stands still for a new one. The counter holds 32 connections of a gateway.
type counterClient struct {
	address       atomic.Pointer[string]
	timeout       time.Duration
	idleEstimator idleLimitEstimator
	streams       [counterStreams]chan *counterCall
	readers       sync.WaitGroup // one for each connection
}

func newCounterClient(address string, timeout time.Duration) *counterClient {
	c := &counterClient{timeout: timeout}
	c.setAddress(address)
	for i := range c.streams {
		c.streams[i] = make(chan *counterCall, maxQueuedCalls)
	}
	return c
}

// setAddress sends all further calls to another address. What is out on the old one
// may still be answered there.
func (c *counterClient) setAddress(address string) { c.address.Store(&address) }

// enqueue hands a call over without waiting. It returns false where too many wait.
func (c *counterClient) enqueue(call *counterCall) bool {
	select {
	case c.streams[call.key%counterStreams] <- call:
		return true
	default:
		return false
	}
}

// run keeps the streams until ctx ends.
func (c *counterClient) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, calls := range c.streams {
		wg.Go(func() { c.runStream(ctx, calls) })
	}
	wg.Wait()
	c.readers.Wait()
}

// runStream writes the calls of one channel.
func (c *counterClient) runStream(ctx context.Context, calls <-chan *counterCall) {
	var conn *counterConn
	var openConns atomic.Int64
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	idleTicker := time.NewTicker(counterIdlePollInterval)
	defer idleTicker.Stop()
	lastUsed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idleTicker.C:
			if conn != nil && (time.Since(lastUsed) > counterIdleTimeout || conn.host != *c.address.Load()) {
				conn.retire()
				conn = nil
			}
		case call := <-calls:
			if call.abandoned.Load() {
				call.report(call, policy.TimedOut, 0) // nobody waits; never written, so never added
				continue
			}
			idleFor := time.Since(lastUsed)
			if conn != nil && (conn.host != *c.address.Load() || !conn.reusable(idleFor) || conn.headOfLineBlocked()) {
				conn.retire()
				conn = nil
			}
			if conn != nil && conn.inFlight.Load() == 0 {
				call.idleFor = idleFor
			}
			if conn == nil {
				var err error
				if conn, err = c.dial(ctx, &openConns); err != nil {
					conn = nil
					call.report(call, policy.ConnectFailed, 0)
					continue
				}
			}
			lastUsed = time.Now()
			conn.writeCall(call)
		}
	}
}
