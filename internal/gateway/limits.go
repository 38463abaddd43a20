package gateway

// How the resource limits of the process are divided.
const (
	reservedFDs       = 64       // descriptors for the counter, discovery and the runtime
	clientFDShare     = 0.75     // of the remaining descriptors, for clients; backends get the rest
	clientMemoryShare = 0.25     // of the memory, for idle client connections
	clientConnBytes   = 24 << 10 // bytes of an idle connection: two buffers, a stack and its table entries
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
