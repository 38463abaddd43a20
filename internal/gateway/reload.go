package gateway

import (
	"os"
	"reflect"
)

// Reload makes a running gateway read a new configuration each time Signal delivers a value. The zero value never
// causes a reload.
type Reload struct {
	Signal <-chan os.Signal
	Read   func() (Config, error) // returns the new configuration
}

// reload applies the addresses of a new configuration. If the configuration can't be read or is invalid, nothing
// changes.
func (s *server) reload(read func() (Config, error)) {
	next, err := read()
	if err != nil {
		s.log.Warn("reload failed; the old configuration stays in use", "error", err)
		return
	}
	if s.counter != nil && next.Settings.HasCounter {
		s.counter.setAddress(next.Counter)
	}
	s.discovery.setAddress(next.Discovery)
	s.log.Info("reloaded the addresses of discovery and counter", "discovery", next.Discovery,
		"counter", next.Counter, "rest_needs_restart", s.config.needsRestart(&next))
}

// needsRestart reports whether next differs from the running configuration in a value that a reload does not apply.
func (c *Config) needsRestart(next *Config) bool {
	return next.Listen != c.Listen ||
		next.Sockets != c.Sockets ||
		next.MemoryMB != c.MemoryMB ||
		next.Cores != c.Cores ||
		!reflect.DeepEqual(next.Deployment, c.Deployment)
}
