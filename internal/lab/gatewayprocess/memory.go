package gatewayprocess

import "time"

// memoryPollInterval is the time between two readings of the memory of a process.
const memoryPollInterval = 10 * time.Millisecond

// WatchMemory reads the memory of the gateway's process periodically, until the process exits or stop is called. The
// function stop must be called once. It returns the peak of the anonymous memory in bytes, which is what a platform
// compares with the memory limit.
func (g *Gateway) WatchMemory() (stop func() (peak int64)) {
	stopped, result := make(chan struct{}), make(chan int64, 1)
	go func() {
		ticker := time.NewTicker(memoryPollInterval)
		defer ticker.Stop()
		var peak int64
		for {
			if usage, err := g.Usage(); err == nil { // an error means that the process has exited
				peak = max(peak, usage.AnonymousRSS)
			}
			select {
			case <-ticker.C:
				continue
			case <-stopped:
			case <-g.Done():
			}
			result <- peak
			return
		}
	}()
	return func() int64 {
		close(stopped)
		return <-result
	}
}
