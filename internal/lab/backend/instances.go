package backend

import (
	"fmt"
	"net"

	"amberlb/internal/gateway"
)

const (
	// MaxInstances is the largest number of backends that one pool can stand in for.
	MaxInstances = 1 << 23

	firstIP = 127<<24 | 1<<16 // 127.1.0.0, so that no backend gets 127.0.0.1
)

// Instances returns the endpoint list entries of the pool's backends with the indices below count. Zones and machine
// types are assigned in turn. Start must have been called before, and count must not exceed MaxInstances.
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

// address returns the host and port of the backend with the given index.
func (p *Pool) address(index int) string {
	ip := firstIP + index
	port := p.listeners[index%len(p.listeners)].Addr().(*net.TCPAddr).Port
	return fmt.Sprintf("%d.%d.%d.%d:%d", ip>>24, ip>>16&255, ip>>8&255, ip&255, port)
}
