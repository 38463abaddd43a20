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

// The limits below which a gateway can't do its work.
const (
	minMemoryMB = 16
	minSockets  = 128
)

// Config is the configuration that a gateway starts with.
type Config struct {
	Name            string
	Listen          string // host:port for clients
	Discovery       string // host:port of the discovery service
	Counter         string // host:port of the counter service; empty where the deployment has none
	Seed            uint64 // of random numbers
	Cores           float64
	MemoryMB        int
	Sockets         int          // file descriptors
	CachedEndpoints EndpointList // the list of backends as last known
	wire.Deployment

	// Log takes the gateway's lines; nil: slog.Default. It doesn't come from the file.
	Log *slog.Logger
}

// logger returns where lines go.
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

// limitsSection is what the process may use.
type limitsSection struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// invalidKey returns an error that says what is wrong with a key of the file. Inner keys are separated by dots.
func invalidKey(key, format string, args ...any) error {
	return fmt.Errorf("%s: %w", key, fmt.Errorf(format, args...))
}

// ReadConfig reads and validates the configuration file at path. Its error is one line that names the file and, where
// there is one, the key.
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

// validate finds what a gateway could not run with, before any socket is opened.
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
	if !c.Settings.Counter {
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

// validateNames checks the names by which clients call classes and plans.
func (c *Config) validateNames() error {
	if err := checkNames("class", c.ClassNames); err != nil {
		return err
	}
	return checkNames("plan", c.PlanNames)
}

// checkNames checks that each name can be told from the others. kind is what they name.
func checkNames(kind string, names []string) error {
	for i, name := range names {
		if name == "" || slices.Contains(names[:i], name) {
			return invalidKey("settings", "%s %q: the name is empty or stands twice", kind, name)
		}
	}
	return nil
}

// validateClasses checks the ranges of what the settings state of each class.
func (c *Config) validateClasses() error {
	for i, class := range c.Classes {
		if problem := classProblem(class); problem != "" {
			return invalidKey("settings", "class %q: %s", c.ClassNames[i], problem)
		}
	}
	return nil
}

// classProblem returns what is out of range in a class; "" if nothing is.
func classProblem(class policy.Class) string {
	switch {
	case class.LatencyObjective <= 0:
		return "the latency objective must be above 0"
	case class.Deadline <= 0 || class.Deadline > maxClientTimeout.Seconds():
		return fmt.Sprintf("the deadline must be above 0 and at most %v", maxClientTimeout)
	case class.PriorityWeight < 0:
		return "the priority weight must not be below 0"
	case class.DedupeWindow < 0:
		return "the window in which keys are recognised must not be below 0"
	}
	return ""
}

// validatePlans checks the ranges of what the settings state of each plan.
func (c *Config) validatePlans() error {
	for i, plan := range c.Plans {
		if problem := planProblem(plan); problem != "" {
			return invalidKey("settings", "plan %q: %s", c.PlanNames[i], problem)
		}
	}
	return nil
}

// planProblem returns what is out of range in a plan; "" if nothing is.
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

// validateLimits checks that the gateway has the resources to work.
func (c *Config) validateLimits() error {
	switch {
	case c.Cores <= 0:
		return invalidKey("limits.cores", "%g is too little", c.Cores)
	case c.MemoryMB < minMemoryMB:
		return invalidKey("limits.memory_mb", "%d is too little; %d are needed", c.MemoryMB, minMemoryMB)
	case c.Sockets < minSockets:
		return invalidKey("limits.sockets", "%d is too little; %d are needed", c.Sockets, minSockets)
	}
	return nil
}

// validateSettings checks the gateway's place in its fleet and the spans of time.
func (c *Config) validateSettings() error {
	switch {
	case c.FleetSize < 1 || c.GatewayIndex < 0 || c.GatewayIndex >= c.FleetSize:
		return invalidKey("settings", "rank %d is not among %d gateways", c.GatewayIndex, c.FleetSize)
	case c.Tick <= 0:
		return invalidKey("settings", "the tick must be above 0")
	case c.ConnectTimeout <= 0:
		return invalidKey("settings", "the connect timeout must be above 0")
	case c.IdleTimeout <= 0:
		return invalidKey("settings", "the idle timeout of connections must be above 0")
	case c.Settings.Counter && c.CounterTimeout <= 0:
		return invalidKey("settings", "the counter's timeout must be above 0")
	}
	return nil
}
