// Package gateway implements the network side of the gateway, around the decisions of package policy. It passes
// network events to a policy.Engine and carries out the engine's actions. Only package policy decides which backend a
// request goes to, and when a request is rejected.
//
// The comments of this package use these terms of package policy:
//
//   - counter window: the period for which the counter keeps one total of a customer's quota. The total holds the units
//     that all gateways have charged in this period.
//   - lease: units of a customer's quota that a gateway charges to the counter's total in advance. The gateway then
//     spends these units without further calls to the counter.
//   - local tokens: units of a customer's quota that a gateway may spend without a lease.
//
// Run runs a whole gateway. Hollow is a gateway without sockets to clients and backends, for measuring many of them
// in one process. Only the event loop uses the engine, and the loop never blocks on a socket. The front end, the
// connection pools, the counter client and the discovery watch run in goroutines of their own and send typed messages
// to the loop. The type server owns these goroutines and waits for them to end. docs/ARCHITECTURE.md shows the path of
// a request through these components.
package gateway
