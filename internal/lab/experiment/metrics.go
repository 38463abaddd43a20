package experiment

import "slices"

// Metrics are what one run measured, by name. A metric that could not be measured
// is not among them.
type Metrics map[string]float64

// metric is a value that a bound may name.
type metric struct {
	name     string // ends in its unit; a share or a count has none
	perGroup bool   // of a group of customers, not of the whole run
	primary  bool   // printed in the table
}

// metrics are all that may be measured, in the order of the table.
var metrics = []metric{
	// Gateway processes.
	{name: "ready_s", primary: true},                   // from the start of the slowest gateway until it is ready
	{name: "never_ready", primary: true},               // gateways that were not ready in time
	{name: "list_bytes", primary: true},                // of a full list
	{name: "quiet_core_share", primary: true},          // of a core, by a gateway without requests
	{name: "quiet_control_bytes_per_s", primary: true}, // of a gateway without requests, on the wire
	{name: "requests"},                                 // that were scheduled
	{name: "requests_per_s", primary: true},            // at a gateway
	{name: "served_share", primary: true},
	{name: "refused_share", primary: true},
	{name: "failed_share", primary: true},
	{name: "dropped"}, // requests that were not sent, since too many were in flight
	{name: "cpu_ms_per_request", primary: true},
	{name: "added_p50_ms", primary: true}, // latency beyond the backend's service
	{name: "added_p90_ms"},
	{name: "added_p99_ms", primary: true},
	{name: "added_p999_ms", primary: true},
	{name: "added_max_ms"},
	{name: "late_p99_ms", primary: true},                // of that, how late the request was sent: noise
	{name: "memory_peak_mb", primary: true},             // of the largest gateway
	{name: "control_bytes_per_s", primary: true},        // of a gateway on the wire: counter and discovery
	{name: "counter_bytes_per_s", primary: true},        // of that, the counter's
	{name: "counter_calls_per_request", primary: true},  // as the counter received them
	{name: "counter_turned_away_share"},                 // of the calls
	{name: "counter_names"},                             // alive at the end
	{name: "backend_connections"},                       // most open at one time
	{name: "backend_connections_at_one", primary: true}, // most open at one backend
	{name: "backend_handshakes_per_request"},            // new connections
	{name: "backends_reached"},                          // that got a request

	// Hollow gateways.
	{name: "hollow_ready_p50_s", primary: true}, // from the start of a gateway until it has its list
	{name: "hollow_ready_p90_s", primary: true},
	{name: "hollow_ready_p99_s", primary: true},
	{name: "hollow_ready_max_s", primary: true},
	{name: "hollow_ready", primary: true},               // gateways that had their list at the end
	{name: "hollow_lists", primary: true},               // full lists sent in all
	{name: "hollow_lists_per_s", primary: true},         // until there were as many as gateways
	{name: "hollow_list_bytes", primary: true},          // on the wire until then
	{name: "hollow_control_bytes_per_s", primary: true}, // of a gateway on the wire, after the warm time
	{name: "hollow_counter_calls"},                      // as the counter received them, from the start
	{name: "hollow_counter_calls_per_s", primary: true}, // of all gateways, after the warm-up
	{name: "hollow_counter_turned_away_share", primary: true},
	{name: "hollow_cpu_share", primary: true}, // of a core, by a gateway, after the warm-up
	{name: "hollow_memory_mb", primary: true}, // peak of all their processes together

	// Groups of customers, after the warm-up.
	{name: "tries", perGroup: true},
	{name: "calls_per_request", perGroup: true, primary: true},
	{name: "calls_unanswered_share", perGroup: true}, // of the calls
	{name: "refused_share", perGroup: true, primary: true},
	{name: "refused_inside_share", perGroup: true, primary: true},    // rejected though the quota had the units, of the attempts
	{name: "refused_half_full_share", perGroup: true, primary: true}, // rejected with half of the burst or more unused, of the attempts
	{name: "beyond_share", perGroup: true, primary: true},            // forwarded beyond the quota, of the attempts
	{name: "failed_share", perGroup: true},
	{name: "dropped", perGroup: true},
	{name: "p50_ms", perGroup: true},
	{name: "p99_ms", perGroup: true, primary: true},
}

// metricExists tells whether a run has a metric of this name, or its groups have if ofGroup.
func metricExists(name string, forGroup bool) bool {
	return slices.ContainsFunc(metrics, func(m metric) bool { return m.name == name && m.perGroup == forGroup })
}

// primaryMetrics are those of a run, or of its groups if perGroup, that are printed in the table.
func primaryMetrics(perGroup bool) []metric {
	var primary []metric
	for _, m := range metrics {
		if m.primary && m.perGroup == perGroup {
			primary = append(primary, m)
		}
	}
	return primary
}

// setRatio sets a metric to the ratio of part to total. It is not measured where total is 0.
func (m Metrics) setRatio(name string, part, total float64) {
	if total > 0 {
		m[name] = part / total
	}
}

// setMax sets a metric to a value that is above what it has.
func (m Metrics) setMax(name string, value float64) { m[name] = max(m[name], value) }
