package backend

import (
	"fmt"
	"net"

	"amberlb/internal/gateway"
)

const (
	// MaxInstances is how many backends one pool can stand in for.
	MaxInstances = 1 << 23

	firstIP = 127<<24 | 1<<16 // 127.1.0.0, clear of 127.0.0.1
)

// Instances returns count backends with their addresses, which get the zones and machine
// types in turn. Start must have been called; count is MaxInstances at most.
func (p *Pool) Instances(count int, zones, machineTypes []string) []gateway.EndpointEntry {
	entries := make([]gateway.EndpointEntry, count)
	for i := range entries {
		entry := &entries[i]
		*entry = gateway.EndpointEntry{
			ID:        fmt.Sprintf("b-%05d", i+1),
			Lifecycle: "Ready",
			Weight:    1,
			HostPort:  p.address(i),
		}
		if len(zones) > 0 {
			entry.Zone = zones[i%len(zones)]
		}
		if len(machineTypes) > 0 {
			entry.MachineType = machineTypes[i/max(len(zones), 1)%len(machineTypes)]
		}
	}
	return entries
}

// address is the host and port of the backend with an index.
func (p *Pool) address(index int) string {
	ip := firstIP + index
	port := p.listeners[index%len(p.listeners)].Addr().(*net.TCPAddr).Port
	return fmt.Sprintf("%d.%d.%d.%d:%d", ip>>24, ip>>16&255, ip>>8&255, ip&255, port)
}
