package wire

import "amberlb/policy"

const (
	endpointEntrySize = 22 // encoded size of a list entry, in bytes
	maxEndpointLists  = 16 // number of lists that can be defined at the same time; list numbers start at 0
)

// endpointList is an endpoint list that endpoint updates refer to by number. Its entries may be shared by
// several instances, so they are never modified.
type endpointList struct {
	defined bool
	entries []policy.Backend
}

// backendStatesByAvailability maps the availability of an endpoint entry to the backend's state. Other values are
// malformed.
var backendStatesByAvailability = map[uint8]policy.BackendState{
	0: policy.Removed,
	1: policy.Ready,
	2: policy.Draining,
}

// listKindsByForm maps the form of an endpoint update to the kind of list. Other values are malformed.
var listKindsByForm = map[uint8]policy.ListKind{
	0: policy.FullList,
	1: policy.DeltaList,
	2: policy.CachedList,
	3: policy.ListFailed,
}

// defineEndpointList decodes an endpoint list and stores it under its number.
func (d *Decoder) defineEndpointList(c *cursor) error {
	number := c.u32()
	count := c.u32()
	if number >= maxEndpointLists {
		return ListNumberError(number)
	}
	if uint64(count)*endpointEntrySize > uint64(len(c.remaining)) { // checked before the entries are allocated
		c.truncated = true
		return nil
	}
	entries := make([]policy.Backend, count)
	for i := range entries {
		var err error
		entries[i], err = c.decodeEndpoint()
		if err != nil {
			return err
		}
	}
	d.endpointLists[number] = endpointList{defined: true, entries: entries}
	return nil
}

// decodeEndpoint decodes one entry of an endpoint list.
func (c *cursor) decodeEndpoint() (policy.Backend, error) {
	backend := policy.Backend{
		ID:          policy.BackendID(c.u32()),
		Zone:        int(c.u8()),
		MachineType: int(c.u16()),
		Cell:        int(c.u16()),
	}
	availability := c.u8()
	state, known := backendStatesByAvailability[availability]
	if !known {
		return policy.Backend{}, &UnknownValueError{"availability", availability}
	}
	backend.State = state
	backend.Weight = c.f32()
	backend.StartedAt = c.f64()
	return backend, nil
}

// decodeEndpointUpdate decodes an update of the endpoint list and resolves the list number in it.
func (d *Decoder) decodeEndpointUpdate(c *cursor) (policy.Event, error) {
	form := c.u8()
	c.u32() // the version is not needed, since updates arrive in order and without gaps
	number := c.u32()
	if c.truncated {
		return nil, nil
	}
	kind, known := listKindsByForm[form]
	if !known {
		return nil, &UnknownValueError{"form", form}
	}
	if kind == policy.ListFailed { // the list number has no meaning in this form
		return policy.EndpointsUpdated{Kind: kind}, nil
	}
	if number >= maxEndpointLists || !d.endpointLists[number].defined {
		return nil, UndefinedListError(number)
	}
	return policy.EndpointsUpdated{Kind: kind, Entries: d.endpointLists[number].entries}, nil
}
