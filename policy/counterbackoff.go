package policy

// Pauses after failed or shed calls to the counter, in seconds.
const (
	minCounterBackoff = 0.25 // length of the first pause; each further failure in a row doubles the pause
	maxCounterBackoff = 2.0  // length of the longest pause
)

// backoff is the exponential backoff of one customer's calls to the counter. The zero value is no backoff.
type backoff struct {
	pause float64 // seconds; length of the pause, which grows with each failure in a row
	until float64 // clock time before which no call is made
}

// active reports whether a pause is in progress, during which no call may be made.
func (b *backoff) active(now float64) bool { return now < b.until }

// delayNext lengthens the pause and begins it.
func (b *backoff) delayNext(now float64) {
	b.grow()
	b.until = now + b.pause
}

// delayIfRepeated begins the pause and then lengthens it for the next failure. There is thus no pause after
// the first failure in a row.
func (b *backoff) delayIfRepeated(now float64) {
	b.until = now + b.pause
	b.grow()
}

// delayOnce begins the shortest pause. It does not lengthen the pause after the next failure.
func (b *backoff) delayOnce(now float64) { b.until = now + minCounterBackoff }

// reset sets the pause back to 0 after a call that did not fail. A pause in progress goes on.
func (b *backoff) reset() { b.pause = 0 }

// end sets the pause back to 0 and ends a pause in progress.
func (b *backoff) end(now float64) {
	b.pause = 0
	b.until = now
}

func (b *backoff) grow() { b.pause = min(max(2*b.pause, minCounterBackoff), maxCounterBackoff) }
