// Package policy decides, for one gateway, how each client request is handled. Requests come from customers
// with quotas and are served by backends that all customers share.
//
// The package is a pure state machine: New takes the settings, and Engine.Handle takes one event at a time
// and returns the actions that the gateway has to carry out. It does no I/O, reads no clock and starts no
// goroutines. The caller passes the clock time, in seconds, with each event; all gateways must use the same
// origin (Unix time, for instance), since the windows of quotas are derived from the clock time. An Engine
// must not be used concurrently. Settings, events and actions are defined in settings.go, events.go and
// actions.go.
//
// A request passes through these steps: its units are charged to its customer's quota (admit), it waits in
// the queue of its priority level (enqueue) until the concurrency limit allows an attempt (dispatch), a
// backend is selected (pick), and the attempt is started (send). A request that no backend serves is answered
// by the gateway itself (rejectOrFail). Every attempt is started by send, and every answer of the gateway
// itself is given by rejectOrFail, so the rules in these two functions cannot be bypassed.
//
// The end of an attempt (attemptEnded) updates the estimates of the backend's health and of the load
// (recordOutcome), and may lead to a retry. Timers limit every wait (timers.go). Maintenance, which runs at
// short intervals, updates averages and removes state that is no longer needed (runMaintenance).
package policy
