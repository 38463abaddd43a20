// Package gateway is the gateway on sockets, around the decision module: it turns what happens on sockets into events of a
// policy.Engine and carries out its actions. Which request goes where, and when it is rejected, is decided in package
// policy alone.
//
// Run is the whole gateway; Hollow is one without sockets to clients and backends, for measuring many of them in a
// process. The event loop alone uses the engine, and waits for no socket: the front end, the connection pools, the
// counter client and the discovery watch have goroutines of their own and send it typed messages. The server owns them
// all and awaits their ends. docs/ARCHITECTURE.md shows the way of a request through them.
package gateway
