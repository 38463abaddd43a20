package soak

import (
	"encoding/json"
	"time"

	"amberlb/internal/lab/gatewayprocess"
)

const (
	planName           = "standard"
	memoryMB           = 192                    // limit of a gateway
	maxCountedDeadline = 3 * time.Second        // a longer deadline counts as this where a kill is due
	KillDelay          = 700 * time.Millisecond // from SIGTERM and the longest deadline to the earliest SIGKILL
)

// Class is one class of requests in a gateway's settings.
type Class struct {
	Name        string
	Idempotency Idempotency
	Deadline    time.Duration
}

// Idempotency says how often a request may take effect, in the settings' words.
type Idempotency string

// The effects.
const (
	Idempotent      Idempotency = "repeatable"
	IdempotentByKey Idempotency = "by_key"
	NonIdempotent   Idempotency = "once"
)

// GatewayOptions is what a gateway is told.
type GatewayOptions struct {
	Name, Listen, Discovery string
	DescriptorLimit         int // limit of descriptors
	Classes                 []Class
	Env                     []string // for its program
}

// ProcessOptions are the setup as a real gateway's.
func (s GatewayOptions) ProcessOptions() (gatewayprocess.Options, error) {
	settings, err := s.settings()
	return gatewayprocess.Options{Name: s.Name, Discovery: s.Discovery, Seed: 1, Cores: 1, MemoryMB: memoryMB, Settings: settings,
		Listen: s.Listen, DescriptorLimit: s.DescriptorLimit, Env: s.Env}, err
}

func (s GatewayOptions) settings() (json.RawMessage, error) {
	var classes []map[string]any
	for _, c := range s.Classes {
		class := map[string]any{"name": c.Name, "effect": c.Idempotency, "points": 1, "lateWorth": 0.5,
			"objectiveS": c.Deadline.Seconds() / 2, "deadlineS": c.Deadline.Seconds()}
		if c.Idempotency == IdempotentByKey {
			class["keyScope"], class["windowS"] = "all", 8
		}
		classes = append(classes, class)
	}
	return json.Marshal(map[string]any{
		"fleetSize": 1, "tickS": 0.004, "localities": []string{"a"}, "kinds": []string{"m"},
		"allowed": map[string]any{"cancel": true, "connectTimeoutS": 0.25, "keepaliveS": 30, "mostTries": 3,
			"retryAfter": true, "maxRetryAfterS": 0.5},
		"obligations": map[string]any{"answerSlackS": 0.016, "drainGraceS": 2},
		"classes":     classes,
		"packages":    []map[string]any{{"name": planName, "pays": 1}},
		"familyInfo":  map[string]any{"mostUnits": 4},
	})
}

// KillAfter is the earliest moment of a SIGKILL, counted from SIGTERM.
func KillAfter(classes []Class) time.Duration {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxCountedDeadline) + KillDelay
}
