package gateway

// How the limits of the process are divided.
const (
	reservedFDs       = 64       // descriptors for the counter, discovery and the runtime
	clientFDShare     = 0.75     // of the other descriptors, for clients; backends get the rest
	clientMemoryShare = 0.25     // of the memory, for idle client connections
	clientConnBytes   = 24 << 10 // bytes of an idle connection: two buffers, a stack and its entries in tables
)

// maxClientConns returns how many connections of clients the limits allow.
func (c *Config) maxClientConns() int {
	bySockets := clientFDShare * float64(c.Sockets-reservedFDs)
	byMemory := clientMemoryShare * float64(c.MemoryMB<<20) / clientConnBytes
	return int(min(bySockets, byMemory))
}

// maxBackendConns returns how many connections to backends the limits allow.
func (c *Config) maxBackendConns() int {
	return c.Sockets - reservedFDs - c.maxClientConns()
}
