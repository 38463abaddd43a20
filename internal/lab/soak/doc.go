// Package soak runs gateways, each a process of its own, under faults that a seed draws, and checks what became of
// every request. The faults are series of signals, restarts, backends that hang, paused processes, clients that keep
// using open connections until the SIGKILL, write slowly, disconnect, or use up the file descriptors, and a proxy in
// front of each gateway that delays and splits bytes.
//
// NewPlan draws a plan, Run plays it and Check judges what was recorded. Clients and backends each keep records with
// times of one monotonic clock. Check joins the records and names each request that was lost, answered late, executed
// twice, sent with too long a timeout, or sent after its client had disconnected. The invariants are those of the
// protocol's description; requests that it excuses are counted separately.
package soak
