package wire

import "amberlb/policy"

const (
	endpointEntrySize = 22 // bytes of one entry of a list
	maxEndpointLists  = 16 // lists that can be defined at a time
)

// endpointList is a numbered list, which endpoint updates refer to. It may be shared by instances, so it is
// never changed.
type endpointList struct {
	defined bool
	entries []policy.Backend
}

// backendStatesByAvailability maps the wire's availability.
var backendStatesByAvailability = map[uint8]policy.BackendState{
	0: policy.Removed,
	1: policy.Ready,
	2: policy.Draining,
}

// listKindsByForm maps the wire's forms of an endpoint update.
var listKindsByForm = map[uint8]policy.ListKind{
	0: policy.FullList,
	1: policy.Delta,
	2: policy.CachedList,
	3: policy.ListFailed,
}

// defineEndpointList decodes a list and keeps it under its number.
func (d *Decoder) defineEndpointList(c *cursor) error {
	number := c.u32()
	count := c.u32()
	if number >= maxEndpointLists {
		return ListNumberError(number)
	}
	if uint64(count)*endpointEntrySize > uint64(len(c.remaining)) { // before so many entries are allocated
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

// decodeEndpoint decodes one entry of a list.
func (c *cursor) decodeEndpoint() (policy.Backend, error) {
	backend := policy.Backend{
		ID:   policy.BackendID(c.u32()),
		Zone: int(c.u8()),
		Kind: int(c.u16()),
		Cell: int(c.u16()),
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

// decodeEndpointUpdate decodes what discovery sent to an instance.
func (d *Decoder) decodeEndpointUpdate(c *cursor) (policy.Event, error) {
	form := c.u8()
	c.u32() // the version: changes come in order and none is missing
	number := c.u32()
	if c.truncated {
		return nil, nil
	}
	kind, known := listKindsByForm[form]
	if !known {
		return nil, &UnknownValueError{"form", form}
	}
	if kind == policy.ListFailed { // its list number means nothing
		return policy.EndpointsUpdated{Kind: kind}, nil
	}
	if number >= maxEndpointLists || !d.endpointLists[number].defined {
		return nil, UndefinedListError(number)
	}
	return policy.EndpointsUpdated{Kind: kind, Entries: d.endpointLists[number].entries}, nil
}
