package gateway

// Parameters that divide the resource limits of the process between clients and backends.
const (
	reservedFDs       = 64       // file descriptors for the counter, discovery and the Go runtime
	clientFDShare     = 0.75     // share of the other file descriptors that clients may use; backends get the rest
	clientMemoryShare = 0.25     // share of the memory that client connections may use
	clientConnBytes   = 24 << 10 // bytes of memory of a connection: two buffers, stacks, table entries and a short request
	customerShare     = 0.125    // share of the memory that the state of customers may use
	customerBytes     = 1280     // bytes of memory of the state of a customer
	requestShare      = 0.125    // share of the memory that requests above unreservedRequestBytes may use
	responseShare     = 0.125    // share of the memory that responses above unreservedResponseBytes may use
)

// maxClientConns returns the number of client connections that the limits allow.
func (c *Config) maxClientConns() int {
	bySockets := clientFDShare * float64(c.Sockets-reservedFDs)
	byMemory := clientMemoryShare * float64(c.MemoryMB<<20) / clientConnBytes
	return int(min(bySockets, byMemory))
}

// maxBackendConns returns the number of connections to backends that the limits allow.
func (c *Config) maxBackendConns() int {
	return c.Sockets - reservedFDs - c.maxClientConns()
}

// requestBytes returns the number of bytes of memory that requests above unreservedRequestBytes may use.
func (c *Config) requestBytes() int64 { return int64(requestShare * float64(c.MemoryMB<<20)) }

// responseBytes returns the number of bytes of memory that responses above unreservedResponseBytes may use.
func (c *Config) responseBytes() int64 { return int64(responseShare * float64(c.MemoryMB<<20)) }

// maxCustomers returns the number of customers whose state the memory limit allows.
func (c *Config) maxCustomers() int {
	return int(customerShare * float64(c.MemoryMB<<20) / customerBytes)
}
