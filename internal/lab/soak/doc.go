// Package soak runs gateways, each in its own process, injects random faults, and checks the outcome of every request.
// Gateways get signals, are paused, killed and restarted. Backends hang, drain and return, and discovery has outages.
// Clients keep using open connections until the SIGKILL, write slowly, disconnect, or use up the file descriptors of a
// gateway. Proxies in front of gateways and backends delay and split bytes; those in front of backends also reset
// connections.
//
// NewPlan generates a plan from a seed, Run carries it out, and Check examines the records. Clients and backends keep
// their records separately, with times on one monotonic clock. Check joins them by the ids of the requests, and reports
// each request that was lost, answered late, executed twice, sent to a backend with too long a timeout, or sent to a
// backend after its client had disconnected. The invariants are those of the protocol's description.
// Requests whose missing response the description excuses are counted separately.
package soak
