package gateway

import (
	"bytes"
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

// EndpointList is a response from discovery: the full list of backends, or the changes since the generation in the
// watch's query.
type EndpointList struct {
	Generation int64           `json:"generation"` // version number of the list; parameter "since" of the next watch
	Reset      bool            `json:"reset"`      // Entries is the full list; if false, Entries holds only the changes
	Entries    EndpointEntries `json:"instances"`  // nil if the response has no array; not nil for an empty array
}

// EndpointEntries are the entries of an EndpointList. In JSON they are an array of at most maxListEntries.
type EndpointEntries []EndpointEntry

// EndpointEntry describes one backend, as discovery represents it.
type EndpointEntry struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`        // one of Deployment.Zones
	MachineType string  `json:"machineType"` // one of Deployment.Kinds
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"` // a key of backendStates
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // start of the process, in Unix milliseconds; 0 means long ago
}

// backendStates maps the lifecycle names of discovery to the backend states of the engine.
var backendStates = map[string]policy.BackendState{
	"Ready":       policy.Ready,
	"Terminating": policy.Draining,
	"Gone":        policy.Removed,
}

// errNoEntries is returned for a full list that has no array of entries, not even an empty array. If the response were
// treated as an empty list, the gateway would remove all its backends.
var errNoEntries = errors.New("no instances in the response")

// maxListEntries is the maximum number of entries of a list. The limit on the bytes of a response does not limit the
// memory of its entries, since an entry can be far shorter in JSON than in memory.
const maxListEntries = 1 << 15

var (
	// errTooManyEntries is returned for a list of more than maxListEntries.
	errTooManyEntries = errors.New("too many instances in the response")
	// errNoArray is returned if the entries of a list are neither an array nor null.
	errNoArray = errors.New("the instances are not an array")
)

// UnmarshalJSON decodes an array entry by entry, and stops with errTooManyEntries after maxListEntries.
func (e *EndpointEntries) UnmarshalJSON(text []byte) error {
	*e = nil
	if string(text) == "null" {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	if start, _ := decoder.Token(); start != json.Delim('[') { // the text is valid JSON, so there is no error
		return errNoArray
	}
	entries := EndpointEntries{}
	for decoder.More() {
		if len(entries) == maxListEntries {
			return errTooManyEntries
		}
		var entry EndpointEntry
		if err := decoder.Decode(&entry); err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	*e = entries
	return nil
}

// decodeEndpointList decodes the body of a response. If the poll asked for the full list (fullList), Reset is set in
// the result even if the response doesn't set it.
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

// backendID returns the engine's id for a backend. It is a hash of the instance id in discovery and of nothing else, so
// all gateways have the same id for a backend, in whatever order they learn of the backends.
func backendID(name string) policy.BackendID {
	h := fnv.New32a()
	io.WriteString(h, name)
	return policy.BackendID(h.Sum32())
}

// toBackend converts an entry to the engine's representation. It converts the start time from milliseconds to
// seconds. The start time stays Unix time, which the engine's clock also uses (see clock).
//
// toBackend returns an error for an empty id, an unknown lifecycle, and an invalid weight or start time. An unknown
// zone is an error too, unless the backend is removed. An invalid value is not replaced by a default. With a wrong
// lifecycle, requests could be sent to a draining backend. With a wrong zone, a retry could be sent to a zone other
// than that of the first attempt. In the other zone the retry would not be deduplicated, and the request could be
// executed twice.
func (e EndpointEntry) toBackend(deployment *wire.Deployment) (policy.Backend, error) {
	state, known := backendStates[e.Lifecycle]
	zone := slices.Index(deployment.Zones, e.Zone)
	switch {
	case e.ID == "" || !known:
		return policy.Backend{}, fmt.Errorf("instance %q: empty id or unknown lifecycle %q", e.ID, e.Lifecycle)
	case zone < 0 && state != policy.Removed:
		// All unknown zones would get the same index, -1, and would count as a single zone.
		return policy.Backend{}, fmt.Errorf("instance %q: unknown zone %q", e.ID, e.Zone)
	case math.IsNaN(e.Weight) || e.StartedAtMs < 0:
		return policy.Backend{}, fmt.Errorf("instance %q: invalid weight or start time", e.ID)
	}
	return policy.Backend{
		ID:          backendID(e.ID),
		Zone:        zone,
		MachineType: slices.Index(deployment.Kinds, e.MachineType),
		Cell:        e.Cell,
		State:       state,
		Weight:      e.Weight,
		StartedAt:   float64(e.StartedAtMs) / 1000,
	}, nil
}
