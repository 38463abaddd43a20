package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"

	"amberlb/internal/wire"
	"amberlb/policy"
)

// EndpointList is a full list of backends from discovery, or the changes to the previous one.
type EndpointList struct {
	Generation int64           `json:"generation"` // the version of the list; the next watch starts from it
	Reset      bool            `json:"reset"`      // Entries are the full list, not changes alone
	Entries    []EndpointEntry `json:"instances"`  // nil: the answer held no list, which is not an empty one
}

// EndpointEntry is one backend in discovery's form.
type EndpointEntry struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`        // a name of Deployment.Zones
	MachineType string  `json:"machineType"` // a name of Deployment.Kinds
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"` // a key of backendStates
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time in milliseconds; 0: long ago
}

// backendStates maps discovery's lifecycles to the engine's states.
var backendStates = map[string]policy.BackendState{
	"Ready":       policy.Ready,
	"Terminating": policy.Draining,
	"Gone":        policy.Removed,
}

// errNoEntries reports an answer without a list. Taken for an empty list, it would end all service.
var errNoEntries = errors.New("no instances in it")

// decodeEndpointList decodes the body of an answer. fullList says that the poll asked for the full list:
// such an answer holds all entries, whether it says so or not.
func decodeEndpointList(body []byte, fullList bool) (EndpointList, error) {
	var list EndpointList
	if err := json.Unmarshal(body, &list); err != nil {
		return EndpointList{}, err
	}
	if fullList {
		list.Reset = true
	}
	if list.Reset && list.Entries == nil {
		return EndpointList{}, errNoEntries
	}
	return list, nil
}

// backendID derives the engine's id from the name alone, so that all gateways agree on it in whatever order
// they learn of the backends.
func backendID(name string) policy.BackendID {
	h := fnv.New32a()
	io.WriteString(h, name)
	return policy.BackendID(h.Sum32())
}

// toBackend translates an entry to the engine's form. The engine's clock is Unix time (see clock), so the
// start needs a change of its unit only. It returns an error where the entry can't be understood, since a
// wrong reading could route requests to a draining backend or repeat one in a zone that does not know of
// the first attempt.
func (e EndpointEntry) toBackend(deployment *wire.Deployment) (policy.Backend, error) {
	state, known := backendStates[e.Lifecycle]
	zone := slices.Index(deployment.Zones, e.Zone)
	switch {
	case e.ID == "" || !known:
		return policy.Backend{}, fmt.Errorf("instance %q: lifecycle %q is not known", e.ID, e.Lifecycle)
	case zone < 0 && state != policy.Removed:
		// Two unknown zones must not pass for a single one, in which repeats are discarded.
		return policy.Backend{}, fmt.Errorf("instance %q: zone %q is not known", e.ID, e.Zone)
	case math.IsNaN(e.Weight) || e.StartedAtMs < 0:
		return policy.Backend{}, fmt.Errorf("instance %q: impossible weight or start", e.ID)
	}
	return policy.Backend{
		ID:        backendID(e.ID),
		Zone:      zone,
		Kind:      slices.Index(deployment.Kinds, e.MachineType),
		Cell:      e.Cell,
		State:     state,
		Weight:    e.Weight,
		StartedAt: float64(e.StartedAtMs) / 1000,
	}, nil
}
