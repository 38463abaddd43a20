package gatewayprocess

import (
	"encoding/json"
	"fmt"
)

// defaultDescriptorLimit is the limit of file descriptors if Options.DescriptorLimit is 0.
const defaultDescriptorLimit = 4096

// Options configures one gateway.
type Options struct {
	Name            string
	Discovery       string // address of discovery
	Counter         string // address of the counter; "": there is no counter
	Seed            uint64
	Cores           float64         // CPU limit, in cores
	MemoryMB        int             // memory limit, MB
	Settings        json.RawMessage // deployment settings
	Listen          string          // address for clients; "": a free address
	DescriptorLimit int             // limit of file descriptors; 0: defaultDescriptorLimit
	Env             []string        // environment variables in addition to configEnv
}

// configFile is the content of the gateway's configuration file.
type configFile struct {
	Counter   string          `json:"counter"`
	Discovery string          `json:"discovery"`
	Limits    configLimits    `json:"limits"`
	Listen    string          `json:"listen"`
	Name      string          `json:"name"`
	Seed      string          `json:"seed"` // 16 hexadecimal digits
	Settings  json.RawMessage `json:"settings"`
}

// configLimits holds the resource limits in a configuration file.
type configLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// ConfigFile returns the content of the gateway's configuration file.
func (o Options) ConfigFile() ([]byte, error) {
	descriptorLimit := o.DescriptorLimit
	if descriptorLimit == 0 {
		descriptorLimit = defaultDescriptorLimit
	}
	return json.Marshal(configFile{
		Counter:   o.Counter,
		Discovery: o.Discovery,
		Limits:    configLimits{Cores: o.Cores, MemoryMB: o.MemoryMB, Sockets: descriptorLimit},
		Listen:    o.Listen,
		Name:      o.Name,
		Seed:      fmt.Sprintf("%016x", o.Seed),
		Settings:  o.Settings,
	})
}
