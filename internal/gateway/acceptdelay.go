package gateway

import "time"

// Parameters of acceptDelay.
const (
	marksPerDelay  = 8                // number of queueMarks that are made during the computed delay
	blockingAccept = time.Millisecond // an Accept call that takes this long has blocked, if nothing is known of the queue
)

// acceptDelay computes an upper bound on the time that a connection has waited in the kernel's accept queue. The
// kernel does not report when a connection arrived, but how many connections are waiting at a moment: those behind them
// arrive later. An acceptDelay is owned by the goroutine that calls Accept.
type acceptDelay struct {
	earliest time.Time   // connections that have not been accepted yet arrived at this time or later
	accepted int         // number of accepted connections
	marks    []queueMark // those whose connections have not all been accepted, in the order of time

	// State of the last call of Accept:
	calledAt    time.Time
	length      int  // number of connections that were waiting
	lengthKnown bool // length is known
}

// newAcceptDelay returns the acceptDelay of a listener that is opened now.
func newAcceptDelay(now time.Time) acceptDelay { return acceptDelay{earliest: now} }

// queueMark is a moment at which the length of the queue was known.
type queueMark struct {
	at   time.Time
	last int // number of the last connection that had arrived; the first accepted connection has number 1
}

// acceptCalled records that Accept is about to be called for a listener with the given queue.
func (d *acceptDelay) acceptCalled(now time.Time, queue acceptQueue) {
	d.calledAt = now
	d.length, d.lengthKnown = queue.queueLength()
	if !d.lengthKnown {
		return
	}
	if d.length == 0 {
		d.earliest = now
		d.marks = d.marks[:0]
		return
	}
	d.addMark()
	d.passMarks()
}

// addMark adds a mark for the length of the queue at calledAt, unless the last mark is recent.
func (d *acceptDelay) addMark() {
	interval := d.calledAt.Sub(d.earliest) / marksPerDelay
	if n := len(d.marks); n > 0 && d.calledAt.Sub(d.marks[n-1].at) < interval {
		return
	}
	d.marks = append(d.marks, queueMark{at: d.calledAt, last: d.accepted + d.length})
}

// passMarks removes the marks whose connections have all been accepted, and moves earliest to the last of them.
func (d *acceptDelay) passMarks() {
	passed := 0
	for passed < len(d.marks) && d.marks[passed].last <= d.accepted {
		d.earliest = d.marks[passed].at
		passed++
	}
	d.marks = append(d.marks[:0], d.marks[passed:]...)
}

// acceptReturned records that Accept has returned a connection, and returns the earliest time at which the connection
// can have arrived. If the call has blocked, it returned wakeUpDelay after the arrival of the connection.
func (d *acceptDelay) acceptReturned(now time.Time, wakeUpDelay time.Duration) time.Time {
	d.accepted++
	if d.hasBlocked(now) {
		d.earliest = laterTime(d.calledAt, now.Add(-wakeUpDelay))
	}
	return d.earliest
}

// hasBlocked reports whether the connection that Accept returns now has arrived during the call.
func (d *acceptDelay) hasBlocked(now time.Time) bool {
	if d.lengthKnown {
		return d.length == 0
	}
	return now.Sub(d.calledAt) >= blockingAccept
}
