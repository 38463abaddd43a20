package gateway

import (
	"context"
	"io"
	"math"
	"testing"
	"time"

	"amberlb/policy"
)

// The limit depends on the number and the share of reuses in which the connection broke. Old observations lose their
// weight.
func TestIdleLimit(t *testing.T) {
	const noLimit = time.Duration(math.MaxInt64)
	for _, c := range []struct {
		name           string
		idleFor        time.Duration
		worked, broken int           // number of reuses that worked or broke
		later          time.Duration // time from the reuses to the call of limit
		want           time.Duration
	}{
		{"nothing observed", time.Second, 0, 0, 0, noLimit},
		{"all work", time.Second, 9, 0, 0, noLimit},
		{"all break", 300 * time.Millisecond, 0, 9, 0, 200 * time.Millisecond},
		{"two breaks may be chance", 300 * time.Millisecond, 0, 2, 0, noLimit},
		{"random breaks among many reuses", 300 * time.Millisecond, 80, 10, 0, noLimit},
		{"below the shortest range", time.Millisecond, 0, 9, 0, noLimit},
		{"beyond the longest range", time.Hour, 0, 9, 0, minBucketIdleTime << (idleBucketCount - 1)},
		{"old observations", 300 * time.Millisecond, 0, 9, 3 * idleDecayTime, noLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			var estimator idleLimitEstimator
			now := time.Now()
			for range c.worked {
				estimator.observe(now, c.idleFor, false)
			}
			for range c.broken {
				estimator.observe(now, c.idleFor, true)
			}
			if got := estimator.limit(now.Add(c.later)); got != c.want {
				t.Errorf("limit %v, want %v", got, c.want)
			}
		})
	}
}

// A middlebox drops idle connections to a backend. Once the estimator has a limit, attempts use new connections instead
// of ending in resets.
func TestForgottenIdleConnectionsAreNotReused(t *testing.T) {
	t.Parallel()
	const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	backend := newPeer(t)
	pools := newConnectionPools(testTimeout, testTimeout, 8)
	defer func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		pools.sweepIdle(ctx)
	}()
	pools.updateEndpoint(1, backend.address(), 0)
	startAttempt := func() <-chan policy.Outcome {
		a := &attempt{request: &clientRequest{method: "GET", uri: "/lookup", host: "origin.svc"}, backend: 1,
			socketDeadline: time.Now().Add(testTimeout)}
		a.ctx, a.cancelContext = context.WithCancel(context.Background())
		ended := make(chan policy.Outcome, 1)
		go func() {
			defer a.cancelContext()
			ended <- pools.roundTrip(a).outcome
		}()
		return ended
	}
	for round := 0; pools.idleEstimator.limit(time.Now()) == math.MaxInt64; round++ {
		if round == 20 {
			t.Fatal("no idle limit after 20 rounds")
		}
		ended := startAttempt()
		conn, reader := backend.accept(t)
		readRequest(t, reader)
		io.WriteString(conn, okResponse)
		if got := await(t, ended, "outcome"); got != policy.Served {
			t.Fatalf("outcome %d on a new connection, want served", got)
		}
		time.Sleep(2 * minBucketIdleTime) // observe ignores idle times below minBucketIdleTime
		ended = startAttempt()
		readRequest(t, reader) // on the same connection
		conn.Close()
		if got := await(t, ended, "outcome"); got != policy.ConnectionReset {
			t.Fatalf("outcome %d on a dropped connection, want a reset", got)
		}
	}
	ended := startAttempt()
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	io.WriteString(conn, okResponse)
	await(t, ended, "outcome")
	limit := pools.idleEstimator.limit(time.Now())
	for range int(minBreaks) {
		pools.idleEstimator.observe(time.Now(), limit, true) // keeps the limit in place during the wait below
	}
	time.Sleep(limit + minBucketIdleTime)
	ended = startAttempt()
	conn, reader = backend.accept(t)
	readRequest(t, reader)
	io.WriteString(conn, okResponse)
	if got := await(t, ended, "outcome"); got != policy.Served {
		t.Errorf("outcome %d although the idle limit is known, want served", got)
	}
}
