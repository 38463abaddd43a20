package gateway

// Parameters that divide the file descriptors between clients and backends.
const (
	reservedFDs   = 64   // file descriptors for the counter, discovery and the Go runtime
	clientFDShare = 0.75 // share of the other file descriptors that clients may use; backends get the rest
)

// Parameters of the memory that may be in use at once.
const (
	heapShare      = 0.75    // part of the memory limit for the Go runtime; threads, the binary and the C library need the rest
	untouchedBytes = 2 << 20 // bytes that the runtime maps and never touches, which the platform therefore does not count
	runtimeBytes   = 5 << 20 // for the runtime's own tables and caches, and for all that grows neither with clients nor backends
	liveShare      = 0.85    // part of the other memory that may be live; garbage and parts of spans that are not used need the rest
)

// Parts of the live memory. Connections get their parts at most, since file descriptors limit them as well.
const (
	clientConnShare  = 0.62
	backendConnShare = 0.10
	recentIDShare    = 0.03
)

// Parts of the live memory that the shares above leave. They add up to 1.
const (
	requestShare  = 0.35 // for requests beyond what clientConnBytes allows for
	responseShare = 0.27 // for responses beyond what backendConnBytes allows for
	customerShare = 0.38
)

// Memory of single objects in bytes.
const (
	clientConnBytes  = 30 << 10 // a connection of a client: three buffers, stacks and a short request
	backendConnBytes = 14 << 10 // a connection to a backend: two buffers, a stack and a short response
	customerBytes    = 1280     // the state of a customer
	recentIDBytes    = 48       // an entry of recentIDs
)

// limits are the limits that follow from the memory and the file descriptors of the process.
type limits struct {
	clientConns   int   // connections of clients
	backendConns  int   // connections to backends
	recentIDs     int   // entries of recentIDs
	customers     int   // customers whose state is kept
	requestBytes  int64 // memory of long requests
	responseBytes int64 // memory of long responses
}

// HeapLimit returns the number of bytes that the Go runtime may map. If the runtime's untouched bytes were not added, the
// garbage collector would take up to half of the processor time of a small gateway.
func (c *Config) HeapLimit() int64 { return c.heapBytes() + untouchedBytes }

// heapBytes returns the number of bytes that the Go runtime may use.
func (c *Config) heapBytes() int64 { return int64(heapShare * float64(c.MemoryMB<<20)) }

// liveBytes returns the number of bytes that may be live beside runtimeBytes.
func (c *Config) liveBytes() float64 { return liveShare * float64(c.heapBytes()-runtimeBytes) }

// limits returns the limits. All that they allow fits in liveBytes together.
func (c *Config) limits() limits {
	live := c.liveBytes()
	var l limits
	descriptors := c.Sockets - reservedFDs
	l.clientConns = min(int(clientFDShare*float64(descriptors)), int(clientConnShare*live/clientConnBytes))
	l.backendConns = min(descriptors-l.clientConns, int(backendConnShare*live/backendConnBytes))
	l.recentIDs = int(recentIDShare * live / recentIDBytes)
	rest := live - float64(l.clientConns)*clientConnBytes - float64(l.backendConns)*backendConnBytes -
		float64(l.recentIDs)*recentIDBytes
	l.requestBytes = int64(requestShare * rest)
	l.responseBytes = int64(responseShare * rest)
	l.customers = int(customerShare * rest / customerBytes)
	return l
}
