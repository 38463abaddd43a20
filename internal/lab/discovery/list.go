package discovery

import (
	"encoding/json"

	"amberlb/internal/gateway"
)

const (
	maxChanges       = 1024 // largest number of changes that are kept; clients with older generations get the full list
	lifecycleRemoved = "Gone"
)

// list is the list of backends with its last changes. Each change of the list makes a new generation, which has the next
// number. The methods of a list must not be called concurrently.
type list struct {
	generation int64
	instances  []gateway.EndpointEntry
	indexByID  map[string]int // index in instances
	changes    []change       // last changes, oldest first; each change made one generation

	// Cache of the lists encoded for the current generation.
	encodedFull   *encodedList           // nil until the full list is requested
	encodedDeltas map[int64]*encodedList // encoded deltas, by the generation of the client
}

// change holds the entries of the delta that made a generation.
type change struct {
	generation int64
	entries    []gateway.EndpointEntry
}

// encodedList is a full list or a delta, encoded once and sent to many clients.
type encodedList struct {
	body    []byte // JSON
	entries int
	full    bool // true for a full list, false for a delta
}

// newList creates a list of generation 1.
func newList(instances []gateway.EndpointEntry) *list {
	l := &list{generation: 1, indexByID: make(map[string]int), encodedDeltas: make(map[int64]*encodedList)}
	l.apply(instances)
	return l
}

// applyDelta makes the next generation by adding or replacing entries. Entries with the lifecycle Gone are removed.
func (l *list) applyDelta(entries []gateway.EndpointEntry) {
	l.generation++
	l.apply(entries)
	l.changes = append(l.changes, change{l.generation, entries})
	if excess := len(l.changes) - maxChanges; excess > 0 {
		l.changes = l.changes[excess:]
	}
	l.encodedFull = nil
	clear(l.encodedDeltas)
}

// apply adds or replaces entries in instances. Entries with the lifecycle Gone are removed.
func (l *list) apply(entries []gateway.EndpointEntry) {
	for _, entry := range entries {
		index, known := l.indexByID[entry.ID]
		removed := entry.Lifecycle == lifecycleRemoved
		switch {
		case !removed && known:
			l.instances[index] = entry
		case !removed:
			l.indexByID[entry.ID] = len(l.instances)
			l.instances = append(l.instances, entry)
		case known:
			l.removeAt(index)
		}
	}
}

// removeAt removes the instance at an index and moves the last instance into its place.
func (l *list) removeAt(index int) {
	removed := l.instances[index].ID
	last := len(l.instances) - 1
	l.instances[index] = l.instances[last]
	l.indexByID[l.instances[index].ID] = index
	l.instances = l.instances[:last]
	delete(l.indexByID, removed)
}

// hasChangesSince reports whether a delta can be made for a client that has the given generation. The generation must
// not be 0 or above the current generation, and all later changes must still be kept.
func (l *list) hasChangesSince(generation int64) bool {
	oldest := l.generation - int64(len(l.changes))
	return generation > 0 && generation <= l.generation && generation >= oldest
}

// since returns the list for a client that has the given generation. It returns a delta if hasChangesSince returns true
// for the generation, else the full list.
func (l *list) since(generation int64) *encodedList {
	if l.hasChangesSince(generation) {
		return l.deltaSince(generation)
	}
	return l.full()
}

// full returns the encoded full list.
func (l *list) full() *encodedList {
	if l.encodedFull == nil {
		l.encodedFull = l.encode(l.instances, true)
	}
	return l.encodedFull
}

// deltaSince returns an encoded delta with the newest entry of each instance that changed after a generation.
func (l *list) deltaSince(generation int64) *encodedList {
	if encoded := l.encodedDeltas[generation]; encoded != nil {
		return encoded
	}
	entries := []gateway.EndpointEntry{}
	indexByID := make(map[string]int) // index in entries
	for _, c := range l.changes {
		if c.generation <= generation {
			continue
		}
		for _, entry := range c.entries {
			if index, known := indexByID[entry.ID]; known {
				entries[index] = entry
				continue
			}
			indexByID[entry.ID] = len(entries)
			entries = append(entries, entry)
		}
	}
	encoded := l.encode(entries, false)
	l.encodedDeltas[generation] = encoded
	return encoded
}

// encode encodes entries as a full list or a delta of the current generation.
func (l *list) encode(entries []gateway.EndpointEntry, full bool) *encodedList {
	if entries == nil {
		entries = []gateway.EndpointEntry{} // nil would be encoded as null instead of an empty array
	}
	body, err := json.Marshal(gateway.EndpointList{Generation: l.generation, Reset: full, Entries: entries})
	if err != nil {
		panic(err) // only an infinite or NaN weight can't be encoded, and the lab uses neither
	}
	return &encodedList{body: body, entries: len(entries), full: full}
}
