package gateway

import (
	"math/rand/v2"
	"net"
	"sort"
	"testing"
	"time"
)

// The length of a socket's accept queue counts the connections from their arrival until they are accepted, whether or
// not their clients have closed them.
func TestLengthOfSocketAcceptQueue(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	queue := acceptQueueOf(listener)
	expect := func(when string, expected int) {
		t.Helper()
		length, known := queue.queueLength()
		for end := time.Now().Add(5 * time.Second); length != expected && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
			length, known = queue.queueLength()
		}
		if length != expected || !known {
			t.Errorf("%s: length %d, known %v; expected %d", when, length, known, expected)
		}
	}
	expect("before the first connection", 0)
	for n := range 3 {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		expect("with a connection more", n+1)
		if n == 0 {
			client.Close()
			expect("with a connection that its client has closed", n+1)
		}
	}
	for n := range 3 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		expect("with a connection less", 2-n)
	}
	listener.Close()
	if length, known := queue.queueLength(); known {
		t.Errorf("a closed listener has a queue of length %d", length)
	}
}

// simulatedQueue is an accept queue with a made-up clock. The elements of its slice are times since its beginning.
type simulatedQueue struct {
	began    time.Time
	now      time.Duration
	arrivals []time.Duration // of all connections, in their order
	accepted int
}

func (q *simulatedQueue) queueLength() (length int, known bool) {
	waiting := q.arrivals[q.accepted:]
	return sort.Search(len(waiting), func(n int) bool { return waiting[n] > q.now }), true
}

// accept takes the next connection from the queue, and returns how long it has waited and the bound that d computes for
// that wait. A call that does not block takes the given time.
func (q *simulatedQueue) accept(d *acceptDelay, duration time.Duration) (waited, bound time.Duration) {
	d.acceptCalled(q.began.Add(q.now), q)
	if length, _ := q.queueLength(); length > 0 {
		q.now += duration
	}
	q.now = max(q.now, q.arrivals[q.accepted])
	waited = q.now - q.arrivals[q.accepted]
	q.accepted++
	return waited, q.began.Add(q.now).Sub(d.acceptReturned(q.began.Add(q.now), 0))
}

// While connections arrive faster than they can be accepted, the queue never becomes empty. The delay that is computed
// must not grow with the duration of such a crowd, as requests would seem to have no time left. It is never shorter than
// the connection's wait.
func TestAcceptDelayInLastingQueue(t *testing.T) {
	const (
		connections = 20_000
		phase       = 200                   // number of connections that arrive at the same rate
		meanStep    = 10 * time.Millisecond // between two calls of Accept
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		upTo := func(longest time.Duration) time.Duration { return time.Duration(random.Int64N(int64(longest) + 1)) }
		q := &simulatedQueue{began: time.Unix(0, 0), arrivals: make([]time.Duration, connections)}
		meanInterval := meanStep
		for n := range connections - 1 {
			if n%phase == 0 {
				meanInterval = meanStep/2 + upTo(meanStep)
			}
			q.arrivals[n+1] = q.arrivals[n] + upTo(2*meanInterval)
		}
		d := newAcceptDelay(q.began)
		longestWait := time.Duration(0)
		for q.accepted < connections {
			q.now += upTo(2 * meanStep)
			waited, bound := q.accept(&d, upTo(meanStep/5))
			longestWait = max(longestWait, waited)
			if bound < waited || bound > 2*longestWait+4*meanStep {
				t.Fatalf("seed %d: connection %d waited for %v, at most %v so far; the bound is %v",
					seed, q.accepted, waited, longestWait, bound)
			}
		}
	}
}
