package experiment

import "fmt"

// applyDefaults expands the groups with several subset sizes, and sets each value that is 0 and has a default to its
// default.
func (e *Experiment) applyDefaults() {
	e.Groups = expandGroups(e.Groups)
	for i := range e.Groups {
		g := &e.Groups[i]
		setDefault(&g.Gateways, g.SubsetSize)
		setDefault(&g.UnitsPerRequest, 1)
	}
	setDefault(&e.Tenants.SubsetSize, 1)
	fleet := &e.Fleet
	setDefault(&fleet.HollowProcesses, 1)
	setDefault(&fleet.MemoryMB, 256)
	setDefault(&fleet.Cores, 1)
	setDefault(&fleet.ReadyTimeoutS, 10)
	setDefault(&fleet.Gateways, e.neededGateways())
}

// expandGroups replaces each group that has SubsetSizes with one group for each size. The name of the new group is the
// name of the old group with the size appended.
func expandGroups(groups []Group) []Group {
	var expanded []Group
	for _, g := range groups {
		if len(g.SubsetSizes) == 0 {
			expanded = append(expanded, g)
		}
		for _, size := range g.SubsetSizes {
			sized := g
			sized.Name = fmt.Sprintf("%s-%d", g.Name, size)
			sized.SubsetSize = size
			sized.SubsetSizes = nil
			expanded = append(expanded, sized)
		}
	}
	return expanded
}

// setDefault sets a value that is 0 to its default.
func setDefault[T int | float64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}
