// Package soak runs gateways, each in its own process, injects random faults, and checks the outcome of every request.
// Gateways get signals, are paused, killed and restarted. Backends hang, drain and return. Discovery has outages and, in
// some runs, slow responses. Clients use a connection until the gateway closes it or gets SIGKILL. Some clients write slowly or disconnect. Idle
// connections can use up the file descriptors of a gateway. Proxies in front of gateways and backends delay and split
// bytes. The proxies in front of backends also reset connections. In some runs, bad clients send long requests without
// their last byte to gateways with little memory.
//
// NewPlan generates a plan from a seed, Run carries it out, and Check examines the records. Clients and backends keep
// their records separately, with times on one monotonic clock. Check joins the records by the ids of the requests. It
// reports each request that was lost, answered late or executed twice. It also reports each request that was sent to a
// backend with too long a timeout, or after the request's client had disconnected. The protocol's description defines
// the invariants (see Invariant).
// Requests whose missing response the description excuses are counted separately.
package soak
