package discovery

import (
	"encoding/json"

	"amberlb/internal/gateway"
)

const (
	maxChanges       = 1024 // that are remembered; a caller with an older generation gets the full list
	lifecycleRemoved = "Gone"
)

// list is the list of backends with its last changes. It has no lock.
type list struct {
	generation int64
	instances  []gateway.EndpointEntry
	indexByID  map[string]int // in instances
	changes    []change       // the last ones; each made a generation

	// Encoded lists of this generation.
	encodedFull   *encodedList           // nil until it is requested
	encodedDeltas map[int64]*encodedList // by the generation that they start from
}

// change is what made one generation.
type change struct {
	generation int64
	entries    []gateway.EndpointEntry
}

// encodedList is a list that is encoded once and sent to many callers.
type encodedList struct {
	body    []byte // JSON
	entries int
	full    bool // else it is a delta
}

// newList makes a list of generation 1.
func newList(instances []gateway.EndpointEntry) *list {
	l := &list{generation: 1, indexByID: make(map[string]int), encodedDeltas: make(map[int64]*encodedList)}
	l.apply(instances)
	return l
}

// applyDelta makes the next generation. An entry that is Gone is removed.
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

// apply puts entries into the instances, and removes those that are Gone.
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

// removeAt removes an instance, and moves the last one to its place.
func (l *list) removeAt(index int) {
	removed := l.instances[index].ID
	last := len(l.instances) - 1
	l.instances[index] = l.instances[last]
	l.indexByID[l.instances[index].ID] = index
	l.instances = l.instances[:last]
	delete(l.indexByID, removed)
}

// hasChangesSince tells whether all changes after a generation are remembered.
func (l *list) hasChangesSince(generation int64) bool {
	oldest := l.generation - int64(len(l.changes))
	return generation > 0 && generation <= l.generation && generation >= oldest
}

// since returns the list for a caller that has a generation: what changed after it if that is remembered, else the full
// list.
func (l *list) since(generation int64) *encodedList {
	if l.hasChangesSince(generation) {
		return l.deltaSince(generation)
	}
	return l.full()
}

// full returns the full list.
func (l *list) full() *encodedList {
	if l.encodedFull == nil {
		l.encodedFull = l.encode(l.instances, true)
	}
	return l.encodedFull
}

// deltaSince returns the newest entry of each instance that changed after a generation.
func (l *list) deltaSince(generation int64) *encodedList {
	if encoded := l.encodedDeltas[generation]; encoded != nil {
		return encoded
	}
	entries := []gateway.EndpointEntry{}
	indexByID := make(map[string]int) // in entries
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

// encode encodes entries as a list of this generation.
func (l *list) encode(entries []gateway.EndpointEntry, full bool) *encodedList {
	if entries == nil {
		entries = []gateway.EndpointEntry{} // nil would be encoded as null, which is no list
	}
	body, err := json.Marshal(gateway.EndpointList{Generation: l.generation, Reset: full, Entries: entries})
	if err != nil {
		panic(err) // an infinite weight, which the lab never makes
	}
	return &encodedList{body: body, entries: len(entries), full: full}
}
