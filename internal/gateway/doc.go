// Package gateway implements the network side of the gateway, around the decisions of package policy. It passes
// network events to a policy.Engine and carries out the engine's actions. Only package policy decides which backend a
// request goes to, and when a request is rejected.
//
// Run runs a whole gateway. Hollow is a gateway without sockets to clients and backends, for measuring many of them
// in one process. Only the event loop uses the engine, and the loop never blocks on a socket. The front end, the
// connection pools, the counter client and the discovery watch run in goroutines of their own and send typed messages
// to the loop. The type server owns these goroutines and waits for them to end. docs/ARCHITECTURE.md shows the path of
// a request through these components.
package gateway
