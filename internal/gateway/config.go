package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"

	"amberlb/internal/wire"
	"amberlb/policy"
)

// The lowest resource limits with which a gateway can work.
const (
	minMemoryMB = 16
	minSockets  = 128
)

// Config is the configuration that a gateway starts with.
type Config struct {
	Name            string
	Listen          string // host:port for clients
	Discovery       string // host:port of the discovery service
	Counter         string // host:port of the counter service; empty if the deployment has no counter
	Seed            uint64 // seed of the random numbers
	Cores           float64
	MemoryMB        int
	Sockets         int          // limit on open file descriptors
	CachedEndpoints EndpointList // the endpoint list that was known before the start
	wire.Deployment

	// Log receives the gateway's log lines; nil means slog.Default(). It is not part of the configuration file.
	Log *slog.Logger
}

// logger returns the logger for the gateway's log lines.
func (c *Config) logger() *slog.Logger {
	if c.Log == nil {
		return slog.Default()
	}
	return c.Log
}

// configFile mirrors the JSON of a configuration file; unknown keys are ignored.
type configFile struct {
	Name            string          `json:"name"`
	Listen          string          `json:"listen"`
	Discovery       string          `json:"discovery"`
	Counter         string          `json:"counter"`
	Seed            string          `json:"seed"` // hex digits
	Limits          limitsSection   `json:"limits"`
	CachedEndpoints EndpointList    `json:"known"`
	Settings        json.RawMessage `json:"settings"`
}

// limitsSection holds the resource limits of the process.
type limitsSection struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// invalidKey returns an error that names a key of the configuration file and describes the problem with its value.
// The name of a nested key is its path, joined by dots.
func invalidKey(key, format string, args ...any) error {
	return fmt.Errorf("%s: %w", key, fmt.Errorf(format, args...))
}

// ReadConfig reads and validates the configuration file at path. Its error is a single line. The error names the file,
// and also the key if the value of a single key is invalid.
func ReadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := parseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// parseConfig parses and validates the text of a configuration file.
func parseConfig(text []byte) (Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, err
	}
	if file.Settings == nil {
		return Config{}, errors.New("no settings")
	}
	deployment, err := wire.ParseDeployment(file.Settings)
	if err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, invalidKey("seed", "%w", err)
	}
	c := Config{
		Name:            file.Name,
		Listen:          file.Listen,
		Discovery:       file.Discovery,
		Counter:         file.Counter,
		Seed:            seed,
		Cores:           file.Limits.Cores,
		MemoryMB:        file.Limits.MemoryMB,
		Sockets:         file.Limits.Sockets,
		CachedEndpoints: file.CachedEndpoints,
		Deployment:      deployment,
	}
	return c, c.validate()
}

// hasCachedList reports whether the configuration has a list of backends to begin with.
func (c *Config) hasCachedList() bool { return len(c.CachedEndpoints.Entries) > 0 }

// validate rejects values with which a gateway can't run, before any socket is opened.
func (c *Config) validate() error {
	checks := []func() error{
		c.validateAddresses,
		c.validateNames,
		c.validateClasses,
		c.validatePlans,
		c.validateLimits,
		c.validateSettings,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// validateAddresses checks the addresses to listen on and to connect to.
func (c *Config) validateAddresses() error {
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if !c.Settings.HasCounter {
		return nil
	}
	return checkAddress("counter", c.Counter)
}

// checkAddress checks that the address under a key has the form host:port.
func checkAddress(key, address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		return invalidKey(key, "%q is not an address with a port", address)
	}
	return nil
}

// validateNames checks the names by which clients refer to classes and plans.
func (c *Config) validateNames() error {
	if err := checkNames("class", c.ClassNames); err != nil {
		return err
	}
	return checkNames("plan", c.PlanNames)
}

// checkNames checks that no name is empty or duplicate. The argument kind is the word for the named items in the error
// message, such as "class".
func checkNames(kind string, names []string) error {
	for i, name := range names {
		if name == "" || slices.Contains(names[:i], name) {
			return invalidKey("settings", "%s %q: the name is empty or duplicate", kind, name)
		}
	}
	return nil
}

// validateClasses checks the ranges of the settings of each class.
func (c *Config) validateClasses() error {
	for i, class := range c.Classes {
		if problem := classProblem(class); problem != "" {
			return invalidKey("settings", "class %q: %s", c.ClassNames[i], problem)
		}
	}
	return nil
}

// classProblem returns a description of the first value of a class that is out of range; "" if all are in range.
func classProblem(class policy.Class) string {
	switch {
	case class.LatencyObjective <= 0:
		return "the latency objective must be above 0"
	case class.Deadline <= 0 || class.Deadline > maxClientTimeout.Seconds():
		return fmt.Sprintf("the deadline must be above 0 and at most %v", maxClientTimeout)
	case class.PriorityWeight < 0:
		return "the priority weight must not be below 0"
	case class.DedupeWindow < 0:
		return "the dedupe window must not be below 0"
	}
	return ""
}

// validatePlans checks the ranges of the settings of each plan.
func (c *Config) validatePlans() error {
	for i, plan := range c.Plans {
		if problem := planProblem(plan); problem != "" {
			return invalidKey("settings", "plan %q: %s", c.PlanNames[i], problem)
		}
	}
	return nil
}

// planProblem returns a description of the first value of a plan that is out of range; "" if all are in range.
func planProblem(plan policy.Plan) string {
	switch {
	case plan.WeightFactor < 0:
		return "the weight factor must not be below 0"
	case plan.Rate < 0:
		return "the rate must not be below 0"
	case plan.MaxConcurrent < 0:
		return "the concurrency limit must not be below 0"
	case plan.CeilingRate < 0:
		return "the ceiling's rate must not be below 0"
	case plan.Rate > 0 && plan.Burst <= 0:
		return "a rate needs a burst above 0"
	case plan.CeilingRate > 0 && plan.CeilingBurst <= 0:
		return "a ceiling needs a burst above 0"
	}
	return ""
}

// validateLimits checks that the resource limits are high enough.
func (c *Config) validateLimits() error {
	switch {
	case c.Cores <= 0:
		return invalidKey("limits.cores", "%g is too low; it must be above 0", c.Cores)
	case c.MemoryMB < minMemoryMB:
		return invalidKey("limits.memory_mb", "%d is too low; at least %d are needed", c.MemoryMB, minMemoryMB)
	case c.Sockets < minSockets:
		return invalidKey("limits.sockets", "%d is too low; at least %d are needed", c.Sockets, minSockets)
	}
	return nil
}

// validateSettings checks the gateway's index in the fleet, the tick and the timeouts.
func (c *Config) validateSettings() error {
	switch {
	case c.FleetSize < 1 || c.GatewayIndex < 0 || c.GatewayIndex >= c.FleetSize:
		return invalidKey("settings", "rank %d is not an index in a fleet of %d gateways", c.GatewayIndex, c.FleetSize)
	case c.Tick <= 0:
		return invalidKey("settings", "the tick must be above 0")
	case c.ConnectTimeout <= 0:
		return invalidKey("settings", "the connect timeout must be above 0")
	case c.IdleTimeout <= 0:
		return invalidKey("settings", "the idle timeout of connections must be above 0")
	case c.Settings.HasCounter && c.CounterTimeout <= 0:
		return invalidKey("settings", "the counter's timeout must be above 0")
	}
	return nil
}
