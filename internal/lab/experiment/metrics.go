package experiment

// Metrics are what one run measured, by name. One that could not be measured is
// not among them.
type Metrics map[string]float64

// metric is a figure that a bound may name.
type metric struct {
	name     string // ends in its unit; a share or a count has none
	perGroup bool   // of a group of customers, not of the whole run
	primary  bool   // stands in the table and gets a slope
}

var metrics = []metric{
	// Real gateways.
	{name: "ready_s", primary: true},                   // from the start of the slowest gateway until it is ready
	{name: "never_ready", primary: true},               // gateways that were not in time
	{name: "list_bytes", primary: true},                // of a whole list
	{name: "quiet_core_share", primary: true},          // of a core, by a gateway without requests
	{name: "quiet_control_bytes_per_s", primary: true}, // of a gateway without requests, on the wire
	{name: "requests"},                                 // that were due
	{name: "requests_per_s", primary: true},            // at a gateway
	{name: "served_share", primary: true},
	{name: "refused_share", primary: true},
	{name: "failed_share", primary: true},
	{name: "dropped"}, // requests that the load did not send, being too many
	{name: "cpu_ms_per_request", primary: true},
	{name: "added_p50_ms", primary: true}, // latency beyond the backend's service
	{name: "added_p90_ms"},
	{name: "added_p99_ms", primary: true},
	{name: "added_p999_ms", primary: true},
	{name: "added_max_ms"},
	{name: "late_p99_ms", primary: true},                // of that, what this process was late with the load: the machine's noise
	{name: "memory_peak_mb", primary: true},             // of the largest gateway
	{name: "control_bytes_per_s", primary: true},        // of a gateway on the wire: counter and discovery
	{name: "counter_bytes_per_s", primary: true},        // of that, the counter's
	{name: "counter_calls_per_request", primary: true},  // as the counter had them
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
	{name: "hollow_lists", primary: true},               // whole ones handed out in all
	{name: "hollow_lists_per_s", primary: true},         // until there were as many as gateways
	{name: "hollow_list_bytes", primary: true},          // on the wire until then
	{name: "hollow_control_bytes_per_s", primary: true}, // of a gateway on the wire, after the warm time
	{name: "hollow_counter_calls"},                      // as the counter had them, from the start
	{name: "hollow_counter_calls_per_s", primary: true}, // of all gateways, after the warm time
	{name: "hollow_counter_turned_away_share", primary: true},
	{name: "hollow_cpu_share", primary: true}, // of a core, by a gateway, after the warm time
	{name: "hollow_memory_mb", primary: true}, // peak of all their processes together

	// Groups of customers, after the warm time.
	{name: "tries", perGroup: true},
	{name: "calls_per_request", perGroup: true, primary: true},
	{name: "calls_unanswered_share", perGroup: true}, // of the calls
	{name: "refused_share", perGroup: true, primary: true},
	{name: "refused_inside_share", perGroup: true, primary: true},    // refused though the quota had the units, of the tries
	{name: "refused_half_full_share", perGroup: true, primary: true}, // refused with half of the burst or more unused, of the tries
	{name: "beyond_share", perGroup: true, primary: true},            // sent on beyond the quota, of the tries
	{name: "failed_share", perGroup: true},
	{name: "dropped", perGroup: true},
	{name: "p50_ms", perGroup: true},
	{name: "p99_ms", perGroup: true, primary: true},
}

// metricExists finds a figure; where the run and its groups both have one of that
// name, that of the scope wanted.
func metricExists(name string, ofGroup bool) bool {
	for _, f := range metrics {
		if f.name == name && f.perGroup == ofGroup {
			return true
		}
	}
	return false
}

// setRatio is part of whole; there is none of nothing.
func (f Metrics) setRatio(name string, part, whole float64) {
	if whole > 0 {
		f[name] = part / whole
	}
}
