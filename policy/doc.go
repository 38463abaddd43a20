// Package policy decides, for one gateway, what becomes of each request of customers that are held to
// quotas in front of shared backends.
//
// It is a pure state machine: settings go in once (New), events go in one at a time (Engine.Handle), and
// actions come out. It does no I/O and has no clock and no goroutine; times are seconds on the clock of the
// caller, who alone may use an Engine. The vocabulary stands in settings.go, events.go and actions.go.
//
// A request passes these steps: its customer's quota pays for it (admit), it waits in the queue of its
// level (enqueue) until the concurrency limit lets it go (dispatch), a backend is picked (pick), and one
// function sends each attempt (send). A request that no backend answers is answered by one function as well
// (answerWithout). These two hold the rules that no other step may bypass.
//
// An attempt that ends (attemptEnded) teaches the engine something of its backend and of the load
// (recordOutcome), and may lead to a retry. Timers bound every wait (timers.go), and a round of maintenance
// at short intervals lets averages decay (runMaintenance).
package policy
