package gateway

import (
	"os"
	"reflect"
)

// Reload notifies a running gateway of a new configuration. The zero value never does.
type Reload struct {
	Signal <-chan os.Signal
	Read   func() (Config, error) // returns the new configuration
}

// reload takes up the addresses of a new configuration. One that can't be read or run with changes nothing.
func (s *server) reload(read func() (Config, error)) {
	next, err := read()
	if err != nil {
		s.log.Warn("reload failed; the old configuration stays", "error", err)
		return
	}
	if s.counter != nil && next.Settings.Counter {
		s.counter.setAddress(next.Counter)
	}
	if next.Discovery != s.discoveryAddress {
		// A version of the old address may mean nothing to the new one. The new watch starts from the full list; until
		// that comes, the old list stands.
		s.stopWatch()
		s.watchDiscovery(next.Discovery, true)
	}
	s.log.Info("reloaded the addresses of discovery and counter", "discovery", next.Discovery,
		"counter", next.Counter, "rest_needs_restart", s.config.needsRestart(&next))
}

// needsRestart reports whether next differs from the running configuration in what a reload does not take up.
func (c *Config) needsRestart(next *Config) bool {
	return next.Listen != c.Listen ||
		next.Sockets != c.Sockets ||
		next.MemoryMB != c.MemoryMB ||
		next.Cores != c.Cores ||
		!reflect.DeepEqual(next.Deployment, c.Deployment)
}
