package wire

import "amberlb/policy"

// Values of the settings "discovery", "weights" and "how" (in "loadReport"). Other values of these settings are not
// distinguished from each other.
const (
	discoveryByPolling = "ask"
	weightsRough       = "rough"
	weightsNominal     = "nominal"
	loadReportsInline  = "inline"
)

// idempotencyByName maps the setting "effect" of a class to its idempotency.
var idempotencyByName = map[string]policy.Idempotency{
	"":           policy.Idempotent,
	"repeatable": policy.Idempotent,
	"by_key":     policy.IdempotentByKey,
	"once":       policy.NonIdempotent,
}

// dedupeScopesByName maps the setting "keyScope" of a class to its dedupe scope: the set of backends that drop
// duplicates of a request with an idempotency key.
var dedupeScopesByName = map[string]policy.DedupeScope{
	"":     policy.ScopeAll,
	"all":  policy.ScopeAll,
	"zone": policy.ScopeZone,
	"cell": policy.ScopeCell,
}

// loadFieldsByName maps the names of the values in a load report to load fields. Any other name maps to the zero
// value, policy.LoadOther.
var loadFieldsByName = map[string]policy.LoadField{
	"busy_reqs": policy.LoadInFlight,
	"pending":   policy.LoadQueued,
	"cpu_share": policy.LoadCPU,
	"svc_ms":    policy.LoadServiceMillis,
	"served_ps": policy.LoadServedPerSecond,
	"failed_ps": policy.LoadErrorsPerSecond,
}

// policySettings converts the parsed settings to those of the policy engine.
func (j *settingsJSON) policySettings() (policy.Settings, error) {
	s := policy.Settings{
		GatewayIndex:       j.Rank,
		FleetSize:          j.FleetSize,
		Zone:               j.Zone,
		Tick:               j.TickS,
		ClientsMarkRetries: j.Clients.MarkRetries,
		PollDiscovery:      j.Discovery == discoveryByPolling,
		ApproximateWeights: j.Weights == weightsRough || j.Weights == weightsNominal,
	}
	j.setCapabilities(&s)
	j.setQuotaCounter(&s)
	j.setLoadReport(&s)
	j.setRequirements(&s)
	j.setPrices(&s)
	if err := j.setClasses(&s); err != nil {
		return s, err
	}
	j.setPlans(&s)
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return s, ErrNoClassesOrPlans
	}
	return s, nil
}

func (j *settingsJSON) setCapabilities(s *policy.Settings) {
	s.CanCancel = j.Capabilities.CanCancel
	s.CanProbe = j.Capabilities.CanProbe
	s.CanHedge = j.Capabilities.CanHedge
	s.CanSendRetryAfter = j.Capabilities.CanSendRetryAfter
	s.MaxRetryAfter = j.Capabilities.MaxRetryAfterS
	s.MaxAttempts = j.Capabilities.MaxAttempts
	s.MaxOpenRequests = j.Capabilities.MaxOpen
	s.ConnectTimeout = j.Capabilities.ConnectTimeoutS
}

func (j *settingsJSON) setQuotaCounter(s *policy.Settings) {
	s.HasCounter = j.QuotaCounter.HasCounter
	s.CounterTimeout = j.QuotaCounter.CounterTimeoutS
	s.CounterPrice = j.QuotaCounter.CounterPrice
	s.MaxUnits = j.QuotaCounter.MaxUnits
	s.UnitsEstimated = j.QuotaCounter.UnitsEstimated
}

func (j *settingsJSON) setLoadReport(s *policy.Settings) {
	s.LoadInline = j.LoadReport.Delivery == loadReportsInline
	for _, name := range j.LoadReport.Fields {
		s.LoadFields = append(s.LoadFields, loadFieldsByName[name])
	}
}

func (j *settingsJSON) setRequirements(s *policy.Settings) {
	s.AnswerSlack = j.Requirements.AnswerSlackS
	s.DrainGrace = j.Requirements.DrainGraceS
	s.SlowStartMinShare = j.Requirements.SlowStartMinShare
	s.SlowStartWindow = j.Requirements.SlowStartWindowS
	s.OverloadFactor = j.Requirements.OverloadFactor
	s.OverloadDuration = j.Requirements.OverloadDurationS
}

func (j *settingsJSON) setPrices(s *policy.Settings) {
	s.CrossZonePrice = j.Prices.CrossZone
	s.WastePrice = j.Prices.Waste
	s.LateFailurePrice = j.Prices.LateFailure
	s.ProbePrice = j.Prices.Probe
}

func (j *settingsJSON) setClasses(s *policy.Settings) error {
	for _, c := range j.Classes {
		idempotency, known := idempotencyByName[c.Idempotency]
		if !known {
			return &UnknownNameError{"effect", c.Idempotency}
		}
		scope, known := dedupeScopesByName[c.DedupeScope]
		if !known && idempotency == policy.IdempotentByKey {
			return &UnknownNameError{"keyScope", c.DedupeScope}
		}
		s.Classes = append(s.Classes, policy.Class{
			LatencyObjective: c.ObjectiveS,
			ObjectivePerUnit: c.ObjectivePerUnitS,
			Deadline:         c.DeadlineS,
			PriorityWeight:   c.PriorityWeight,
			LateWeightShare:  c.LateWeightShare,
			Idempotency:      idempotency,
			DedupeScope:      scope,
			DedupeWindow:     c.DedupeWindowS,
			Streamed:         c.Streamed,
		})
	}
	return nil
}

func (j *settingsJSON) setPlans(s *policy.Settings) {
	for _, p := range j.Plans {
		s.Plans = append(s.Plans, policy.Plan{
			WeightFactor:    p.WeightFactor,
			Rate:            p.Rate,
			Burst:           p.Burst,
			MaxConcurrent:   int(p.MaxConcurrent),
			OverQuotaWeight: p.OverQuotaWeight,
			OverQuotaCost:   p.OverQuotaCost,
			CeilingRate:     p.CeilingRate,
			CeilingBurst:    p.CeilingBurst,
			CeilingSlack:    p.CeilingSlack,
		})
	}
}

func (j *settingsJSON) classNames() []string {
	var names []string
	for _, c := range j.Classes {
		names = append(names, c.Name)
	}
	return names
}

func (j *settingsJSON) planNames() []string {
	var names []string
	for _, p := range j.Plans {
		names = append(names, p.Name)
	}
	return names
}
