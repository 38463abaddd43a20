package gatewayprocess

import (
	"encoding/json"
	"fmt"
)

// defaultDescriptorLimit is the limit of file descriptors where none is stated.
const defaultDescriptorLimit = 4096

// Options are one gateway's.
type Options struct {
	Name            string
	Discovery       string // address
	Counter         string // address; "": there is no counter
	Seed            uint64
	Cores           float64         // limit of the gateway
	MemoryMB        int             // limit of the gateway
	Settings        json.RawMessage // of the deployment
	Listen          string          // address for clients; "": a free one
	DescriptorLimit int             // limit of file descriptors; 0: what the lab needs
	Env             []string        // environment variables beside the one of the configuration's path
}

// configFile is the gateway's configuration file, by its keys.
type configFile struct {
	Counter   string          `json:"counter"`
	Discovery string          `json:"discovery"`
	Limits    configLimits    `json:"limits"`
	Listen    string          `json:"listen"`
	Name      string          `json:"name"`
	Seed      string          `json:"seed"` // 16 hexadecimal digits
	Settings  json.RawMessage `json:"settings"`
}

// configLimits are the limits in a configuration file.
type configLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// ConfigFile is the gateway's configuration file.
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
