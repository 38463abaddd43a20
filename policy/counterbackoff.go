package policy

// The pause after a failed call.
const (
	minCounterBackoff = 0.25 // first pause after a failed call, seconds; doubles
	maxCounterBackoff = 2.0  // longest pause
)

// backoff is the pause after failed calls to the counter. The zero value is no pause.
type backoff struct {
	pause float64 // seconds; grows with each failure in a row
	until float64 // no call before then
}
