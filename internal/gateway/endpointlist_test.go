package gateway

import (
	"testing"

	"amberlb/policy"
)

// recordingTransport records the addresses of the backends that may get attempts.
type recordingTransport struct{ addresses map[policy.BackendID]string }

func (r *recordingTransport) updateEndpoint(id policy.BackendID, address string, _ float64) {
	r.addresses[id] = address
}

func (r *recordingTransport) removeEndpoint(id policy.BackendID) { delete(r.addresses, id) }

func (r *recordingTransport) startAttempt(*attempt, func(attemptResult)) {
	panic("no attempt is started")
}

// An address belongs to the process that started there last. A backend whose address another one has taken gets no more
// attempts, since they would reach the new process, in whatever order discovery tells the changes. A backend alone at its
// address is used again.
func TestAddressBelongsToNewestProcess(t *testing.T) {
	const shared = "127.0.0.1:1000"
	entry := func(id, address, lifecycle string, startedAtMs int64) EndpointEntry {
		return EndpointEntry{ID: id, HostPort: address, Zone: "a", Lifecycle: lifecycle, Weight: 1, StartedAtMs: startedAtMs}
	}
	old := entry("s-old", shared, "Ready", 1000)
	successor := entry("s-new", shared, "Ready", 5000)
	moved := entry("s-new", "127.0.0.1:1001", "Ready", 5000)
	type list struct {
		kind    policy.ListKind
		entries []EndpointEntry
	}
	full := func(entries ...EndpointEntry) list { return list{policy.FullList, entries} }
	delta := func(entries ...EndpointEntry) list { return list{policy.DeltaList, entries} }
	for name, c := range map[string]struct {
		lists []list
		ready []string
	}{
		"told of both at once":          {[]list{full(old, successor)}, []string{"s-new"}},
		"in the other order":            {[]list{full(successor, old)}, []string{"s-new"}},
		"told of the successor first":   {[]list{full(old), delta(successor)}, []string{"s-new"}},
		"the removal follows":           {[]list{full(old), delta(successor), delta(entry("s-old", shared, "Gone", 1000))}, []string{"s-new"}},
		"told of both again":            {[]list{full(old), delta(successor), full(old, successor)}, []string{"s-new"}},
		"both started long ago":         {[]list{full(entry("s-old", shared, "Ready", 0)), delta(entry("s-new", shared, "Ready", 0)), full(entry("s-old", shared, "Ready", 0), entry("s-new", shared, "Ready", 0))}, []string{"s-new"}},
		"the successor moves away":      {[]list{full(old, successor), full(old, moved), full(old, moved)}, []string{"s-old", "s-new"}},
		"the successor is gone":         {[]list{full(old, successor), full(old)}, []string{"s-old"}},
		"the old one drains beside it":  {[]list{full(entry("s-old", shared, "Terminating", 1000), successor)}, []string{"s-new"}},
		"no address is shared":          {[]list{full(old, moved)}, []string{"s-old", "s-new"}},
		"the backend itself is updated": {[]list{full(old), delta(entry("s-old", shared, "Ready", 7000))}, []string{"s-old"}},
	} {
		t.Run(name, func(t *testing.T) {
			config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
			if err != nil {
				t.Fatal(err)
			}
			transport := &recordingTransport{map[policy.BackendID]string{}}
			l := newEventLoop(&config, transport, nil, func() {})
			for _, next := range c.lists {
				l.applyEndpointList(EndpointList{Entries: next.entries}, next.kind)
			}
			if len(transport.addresses) != len(c.ready) || len(l.readyBackends) != len(c.ready) || len(l.addressOwners) != len(c.ready) {
				t.Errorf("endpoints %v, owners %v, want %v", transport.addresses, l.addressOwners, c.ready)
			}
			for _, id := range c.ready {
				if _, ready := transport.addresses[backendID(id)]; !ready {
					t.Errorf("%s gets no attempts", id)
				}
			}
		})
	}
}
