package gateway

// Parameters that divide the file descriptors between clients and backends.
const (
	reservedFDs   = 64   // file descriptors for the counter, discovery and the Go runtime
	clientFDShare = 0.75 // share of the other file descriptors that clients may use; backends get the rest
)

// Parameters that divide the memory. The shares are parts of the memory limit. What is limited by them must fit on the
// heap together.
const (
	heapShare          = 0.7  // for all memory of the Go runtime; sockets, the binary and the C library need the rest
	clientMemoryShare  = 0.25 // for client connections, with a short request each
	backendMemoryShare = 0.1  // for idle connections to backends
	customerShare      = 0.1  // for the state of customers
	requestShare       = 0.1  // for requests above unreservedRequestBytes
	responseShare      = 0.1  // for responses above unreservedResponseBytes
)

// Memory of single objects in bytes.
const (
	clientConnBytes  = 24 << 10 // a connection of a client: two buffers, stacks, table entries and a short request
	backendConnBytes = 10 << 10 // an idle connection to a backend: two buffers and table entries
	customerBytes    = 1280     // the state of a customer
)

// memoryFor returns a share of the memory limit in bytes.
func (c *Config) memoryFor(share float64) int64 { return int64(share * float64(c.MemoryMB<<20)) }

// HeapLimit returns the number of bytes that the Go runtime may use.
func (c *Config) HeapLimit() int64 { return c.memoryFor(heapShare) }

// maxClientConns returns the number of client connections that the limits allow.
func (c *Config) maxClientConns() int {
	bySockets := int(clientFDShare * float64(c.Sockets-reservedFDs))
	byMemory := int(c.memoryFor(clientMemoryShare) / clientConnBytes)
	return min(bySockets, byMemory)
}

// maxBackendConns returns the number of connections to backends that the limits allow.
func (c *Config) maxBackendConns() int {
	bySockets := c.Sockets - reservedFDs - c.maxClientConns()
	byMemory := int(c.memoryFor(backendMemoryShare) / backendConnBytes)
	return min(bySockets, byMemory)
}

// maxCustomers returns the number of customers whose state the memory limit allows.
func (c *Config) maxCustomers() int { return int(c.memoryFor(customerShare) / customerBytes) }

// requestBytes returns the number of bytes of memory that requests above unreservedRequestBytes may use.
func (c *Config) requestBytes() int64 { return c.memoryFor(requestShare) }

// responseBytes returns the number of bytes of memory that responses above unreservedResponseBytes may use.
func (c *Config) responseBytes() int64 { return c.memoryFor(responseShare) }
