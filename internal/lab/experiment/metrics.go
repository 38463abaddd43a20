package experiment

import "slices"

// Metrics maps the names of metrics to the values measured in one run or for one group. A
// metric that could not be measured is absent.
type Metrics map[string]float64

// metric describes a metric of the report.
type metric struct {
	name     string // contains the unit, except for shares and counts
	perGroup bool   // measured for each group of customers, not for the whole run
	primary  bool   // printed in the table
}

// metrics lists all metrics, in the order of the table. A share is a fraction between 0 and 1. Traffic is counted in
// bytes on the wire. Control traffic is a gateway's traffic with discovery and the counter. The measured load is the
// load after the warm-up. A scheduled request is a request that was due during the measured load. A request or attempt
// is served if it is answered 200, and rejected if it is answered 429 or 503. It is dropped if it is not sent because
// too many requests are in flight. In all other cases, it fails.
var metrics = []metric{
	// Gateway processes. The metrics from "requests" on are those of the measured load. Only the peak values
	// and backends_reached also cover the time before the measured load.
	{name: "ready_s", primary: true},                   // time until the slowest gateway is ready
	{name: "never_ready", primary: true},               // number of gateways that were not ready in time
	{name: "list_bytes", primary: true},                // size of the full endpoint list
	{name: "quiet_core_share", primary: true},          // mean share of a core that a gateway without requests uses
	{name: "quiet_control_bytes_per_s", primary: true}, // mean control traffic of a gateway without requests
	{name: "requests"},                                 // number of scheduled requests
	{name: "requests_per_s", primary: true},            // mean rate of scheduled requests per gateway
	{name: "served_share", primary: true},              // share of the scheduled requests that were served
	{name: "refused_share", primary: true},             // share of the scheduled requests that were rejected
	{name: "failed_share", primary: true},              // share of the scheduled requests that failed
	{name: "dropped"},                                  // number of scheduled requests that were dropped
	{name: "cpu_ms_per_request", primary: true},        // CPU time of all gateways per scheduled request
	{name: "added_p50_ms", primary: true},              // added_*: latency minus the backend's service time
	{name: "added_p90_ms"},
	{name: "added_p99_ms", primary: true},
	{name: "added_p999_ms", primary: true},
	{name: "added_max_ms"},
	{name: "late_p99_ms", primary: true},                // time from a request's due time to its sending; part of added_*
	{name: "memory_peak_mb", primary: true},             // peak memory of the largest gateway
	{name: "control_bytes_per_s", primary: true},        // mean control traffic of a gateway
	{name: "counter_bytes_per_s", primary: true},        // mean traffic of a gateway with the counter
	{name: "counter_calls_per_request", primary: true},  // calls that the counter received per scheduled request
	{name: "counter_turned_away_share"},                 // share of the received calls that the counter rejected
	{name: "counter_names"},                             // number of unexpired names in the counter at the end
	{name: "backend_connections"},                       // peak number of open connections to all backends
	{name: "backend_connections_at_one", primary: true}, // peak number of open connections to one backend
	{name: "backend_handshakes_per_request"},            // new connections to backends per scheduled request
	{name: "backends_reached"},                          // number of backends that received a request

	// Hollow gateways. The rates and shares from "hollow_control_bytes_per_s" on are those of the measured load.
	{name: "hollow_ready_p50_s", primary: true}, // hollow_ready_*_s: time from a gateway's start to its endpoint list
	{name: "hollow_ready_p90_s", primary: true},
	{name: "hollow_ready_p99_s", primary: true},
	{name: "hollow_ready_max_s", primary: true},
	{name: "hollow_ready", primary: true},                     // number of gateways that got an endpoint list
	{name: "hollow_lists", primary: true},                     // number of full lists that discovery sent in total
	{name: "hollow_lists_per_s", primary: true},               // rate of full lists until one list per gateway was sent
	{name: "hollow_list_bytes", primary: true},                // traffic of discovery until one list per gateway was sent
	{name: "hollow_control_bytes_per_s", primary: true},       // mean control traffic of a gateway
	{name: "hollow_counter_calls"},                            // calls that the counter received, warm-up included
	{name: "hollow_counter_calls_per_s", primary: true},       // rate of calls that the counter received
	{name: "hollow_counter_turned_away_share", primary: true}, // share of the received calls that the counter rejected
	{name: "hollow_cpu_share", primary: true},                 // mean share of a core that a gateway uses
	{name: "hollow_memory_mb", primary: true},                 // sum of the peak memory of all hollow processes

	// Groups of customers, during the measured load.
	{name: "tries", perGroup: true},                               // number of attempts
	{name: "calls_per_request", perGroup: true, primary: true},    // calls to the counter per attempt
	{name: "calls_unanswered_share", perGroup: true},              // share of the calls to the counter without a response
	{name: "refused_share", perGroup: true, primary: true},        // share of the attempts that were rejected
	{name: "refused_inside_share", perGroup: true, primary: true}, // share of the attempts rejected although within quota
	// Share of the attempts that were rejected while half of the burst or more was unused.
	{name: "refused_half_full_share", perGroup: true, primary: true},
	{name: "beyond_share", perGroup: true, primary: true}, // share of the attempts forwarded over quota
	{name: "failed_share", perGroup: true},                // share of the attempts that failed
	{name: "dropped", perGroup: true},                     // number of attempts that were dropped
	{name: "p50_ms", perGroup: true},                      // p50_ms, p99_ms: latency of served requests
	{name: "p99_ms", perGroup: true, primary: true},
}

// metricExists reports whether there is a metric with this name. If forGroup is true, it considers only the metrics of
// groups, otherwise only the metrics of the whole run.
func metricExists(name string, forGroup bool) bool {
	return slices.ContainsFunc(metrics, func(m metric) bool { return m.name == name && m.perGroup == forGroup })
}

// primaryMetrics returns the metrics that are printed in the table. If perGroup is true, it returns only the metrics of
// groups, otherwise only the metrics of the whole run.
func primaryMetrics(perGroup bool) []metric {
	var primary []metric
	for _, m := range metrics {
		if m.primary && m.perGroup == perGroup {
			primary = append(primary, m)
		}
	}
	return primary
}

// setRatio sets a metric to part / total. If total is 0, the metric stays absent.
func (m Metrics) setRatio(name string, part, total float64) {
	if total > 0 {
		m[name] = part / total
	}
}

// setMax sets a metric to value, unless the metric already has a higher value.
func (m Metrics) setMax(name string, value float64) { m[name] = max(m[name], value) }
