package policy

// The pause after a failed call, in seconds.
const (
	minCounterBackoff = 0.25 // the first pause; each failure in a row doubles it
	maxCounterBackoff = 2.0  // the longest pause
)

// backoff is the pause of one customer's calls to the counter after failed ones. The zero value is no pause.
type backoff struct {
	pause float64 // seconds; grows with each failure in a row
	until float64 // no call before then
}

// active reports whether no call may be made yet.
func (b *backoff) active(now float64) bool { return now < b.until }

// delayNext begins a pause that is longer than the last.
func (b *backoff) delayNext(now float64) {
	b.grow()
	b.until = now + b.pause
}

// delayIfRepeated begins a pause as long as the failures before this one call for: after the first there is
// none at all.
func (b *backoff) delayIfRepeated(now float64) {
	b.until = now + b.pause
	b.grow()
}

// delayOnce begins the shortest pause and leaves the next one as it is.
func (b *backoff) delayOnce(now float64) { b.until = now + minCounterBackoff }

// reset starts anew after a call that did not fail. A pause that has begun goes on.
func (b *backoff) reset() { b.pause = 0 }

// end is reset, and ends a pause that has begun.
func (b *backoff) end(now float64) {
	b.pause = 0
	b.until = now
}

func (b *backoff) grow() { b.pause = min(max(2*b.pause, minCounterBackoff), maxCounterBackoff) }
