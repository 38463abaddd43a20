package soak

import (
	"encoding/json"

	"amberlb/internal/lab/gatewayprocess"
)

const (
	planName        = "standard" // the settings' only plan
	gatewayMemoryMB = 192        // limit of a gateway, MiB
)

// GatewayOptions are the configuration of a gateway.
type GatewayOptions struct {
	Name            string
	Listen          string // address for clients
	Discovery       string // address
	DescriptorLimit int    // file descriptors that it may use
	Classes         []Class
	Env             []string // environment variables for its program
}

// ProcessOptions are the options as those of a gateway process.
func (o GatewayOptions) ProcessOptions() (gatewayprocess.Options, error) {
	settings, err := json.Marshal(newSettings(o.Classes))
	return gatewayprocess.Options{
		Name:            o.Name,
		Discovery:       o.Discovery,
		Seed:            1,
		Cores:           1,
		MemoryMB:        gatewayMemoryMB,
		Settings:        settings,
		Listen:          o.Listen,
		DescriptorLimit: o.DescriptorLimit,
		Env:             o.Env,
	}, err
}

// settings are the deployment settings that a soak needs, by the settings' keys. Times are in seconds.
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

// allowedSettings are what the gateway is allowed to do.
type allowedSettings struct {
	Cancel          bool    `json:"cancel"`
	ConnectTimeoutS float64 `json:"connectTimeoutS"`
	KeepaliveS      float64 `json:"keepaliveS"`
	MostTries       int     `json:"mostTries"`
	RetryAfter      bool    `json:"retryAfter"`
	MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
}

// obligationSettings are the limits of time that the gateway has to keep.
type obligationSettings struct {
	AnswerSlackS float64 `json:"answerSlackS"`
	DrainGraceS  float64 `json:"drainGraceS"`
}

// classSettings are those of one class. The last two are left out unless it is idempotent by key.
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

// planSettings are those of one plan.
type planSettings struct {
	Name string  `json:"name"`
	Pays float64 `json:"pays"`
}

// familyInfoSettings are those that depend on the kind of deployment.
type familyInfoSettings struct {
	MostUnits float64 `json:"mostUnits"`
}

// newSettings returns the settings of a gateway that serves these classes.
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
