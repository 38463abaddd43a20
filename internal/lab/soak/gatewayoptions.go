package soak

import (
	"encoding/json"

	"amberlb/internal/lab/gatewayprocess"
)

// planName is the name of the only plan of customers in the settings.
const planName = "standard"

// GatewayOptions configure one gateway.
type GatewayOptions struct {
	Name            string
	Listen          string // address on which the gateway accepts clients
	Discovery       string // address of discovery
	DescriptorLimit int    // limit of open file descriptors
	MemoryMB        int    // memory limit, MiB
	Classes         []Class
	Env             []string // additional environment variables of the process
}

// ProcessOptions returns the options for package gatewayprocess, with settings for the classes.
func (o GatewayOptions) ProcessOptions() (gatewayprocess.Options, error) {
	settings, err := json.Marshal(newSettings(o.Classes))
	return gatewayprocess.Options{
		Name:            o.Name,
		Discovery:       o.Discovery,
		Seed:            1,
		Cores:           1,
		MemoryMB:        o.MemoryMB,
		Settings:        settings,
		Listen:          o.Listen,
		DescriptorLimit: o.DescriptorLimit,
		Env:             o.Env,
	}, err
}

// settings are the parts of the deployment settings that the soak sets. Times are in seconds.
type settings struct {
	FleetSize   int                `json:"fleetSize"`
	TickS       float64            `json:"tickS"`
	Localities  []string           `json:"localities"`
	Kinds       []string           `json:"kinds"`
	Allowed     allowedSettings    `json:"allowed"`
	Obligations obligationSettings `json:"obligations"`
	Classes     []classSettings    `json:"classes"`
	Packages    []planSettings     `json:"packages"`
	FamilyInfo  familyInfoSettings `json:"familyInfo"`
}

// allowedSettings define which measures the gateway may take, and their limits.
type allowedSettings struct {
	Cancel          bool    `json:"cancel"`
	ConnectTimeoutS float64 `json:"connectTimeoutS"`
	KeepaliveS      float64 `json:"keepaliveS"`
	MostTries       int     `json:"mostTries"`
	RetryAfter      bool    `json:"retryAfter"`
	MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
}

// obligationSettings are the time limits that the gateway has to keep.
type obligationSettings struct {
	AnswerSlackS float64 `json:"answerSlackS"`
	DrainGraceS  float64 `json:"drainGraceS"`
}

// classSettings are the settings of one class. KeyScope and WindowS are omitted unless the class is idempotent by key.
type classSettings struct {
	Name       string      `json:"name"`
	Effect     Idempotency `json:"effect"`
	Points     float64     `json:"points"`
	LateWorth  float64     `json:"lateWorth"`
	ObjectiveS float64     `json:"objectiveS"`
	DeadlineS  float64     `json:"deadlineS"`
	KeyScope   string      `json:"keyScope,omitempty"`
	WindowS    float64     `json:"windowS,omitempty"`
}

// planSettings are the settings of one plan of customers.
type planSettings struct {
	Name string  `json:"name"`
	Pays float64 `json:"pays"`
}

// familyInfoSettings are the settings that depend on the kind of deployment.
type familyInfoSettings struct {
	MostUnits float64 `json:"mostUnits"`
}

// newSettings returns the settings of a gateway that serves the given classes.
func newSettings(classes []Class) settings {
	s := settings{
		FleetSize:  1,
		TickS:      0.004,
		Localities: []string{"a"},
		Kinds:      []string{"m"},
		Allowed: allowedSettings{
			Cancel:          true,
			ConnectTimeoutS: 0.25,
			KeepaliveS:      30,
			MostTries:       3,
			RetryAfter:      true,
			MaxRetryAfterS:  0.5,
		},
		Obligations: obligationSettings{AnswerSlackS: 0.016, DrainGraceS: drainGrace.Seconds()},
		Packages:    []planSettings{{Name: planName, Pays: 1}},
		FamilyInfo:  familyInfoSettings{MostUnits: 4},
	}
	for _, class := range classes {
		s.Classes = append(s.Classes, newClassSettings(class))
	}
	return s
}

func newClassSettings(class Class) classSettings {
	s := classSettings{
		Name:       class.Name,
		Effect:     class.Idempotency,
		Points:     1,
		LateWorth:  0.5,
		ObjectiveS: class.Deadline.Seconds() / 2,
		DeadlineS:  class.Deadline.Seconds(),
	}
	if class.Idempotency == IdempotentByKey {
		s.KeyScope = "all"
		s.WindowS = 8
	}
	return s
}
