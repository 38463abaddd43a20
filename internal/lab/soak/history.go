package soak

import "time"

// History holds all records of a run. All times are on the run's clock.
type History struct {
	ClientAttempts  []ClientAttempt
	BackendAttempts []BackendAttempt
	Processes       []Process
	ListChanges     []ListChange // sorted by time
	Outages         []Outage     // outages of discovery
	SlowDiscovery   bool         // some responses of discovery were slow

	IncompleteRequests []IncompleteRequest
	HostileExchanges   []HostileExchange
	MemoryLimit        int64 // limit of the memory of a process in bytes; 0: not checked
}

// Process is the record of one process of a gateway, from its start to its end.
type Process struct {
	Gateway    int // number of the gateway
	Number     int // number of the process among the gateway's processes, from 1
	StartedAt  time.Duration
	ReadyAt    time.Duration
	SigtermAt  time.Duration // time of the first SIGTERM; 0: the process got no SIGTERM
	SigkillAt  time.Duration // time of the SIGKILL; 0: the process got no SIGKILL
	EndedAt    time.Duration // time of the end of the process; 0: the process did not end
	Err        error         // result of the process; nil only for exit status 0
	PeakMemory int64         // peak of the anonymous memory of the process in bytes
	Log        string        // last part of the log of the process
	signals    []signalRecord
	hardKilled bool // the process got a hard kill (see Stop), or SIGKILL as the run ended before it was ready
	neverReady bool
}

// signalRecord is the record of a signal sent to a process.
type signalRecord struct {
	At   time.Duration
	Name string
}

// ListChange is the record of a change of one entry in the list of backends.
type ListChange struct {
	Backend string
	At      time.Duration
	Ready   bool // true: the backend is in service; false: it drains or is removed
}

const (
	watchDelay     = 300 * time.Millisecond // longest time from a change until an open watch has notified the gateways
	maxNotifyDelay = 6 * time.Second        // longest time from a change, or the end of an outage, until gateways are notified
)

// removalNotifiedAt returns the time by which gateways must have been notified that a backend is out of service
// (draining or removed). If the backend was in service at the given moment, the result removed is false, and the time
// has no meaning.
func (h *History) removalNotifiedAt(backend string, moment time.Duration) (at time.Duration, removed bool) {
	for _, change := range h.ListChanges {
		if change.Backend != backend || change.At > moment {
			continue
		}
		if !change.Ready && removed {
			continue // the backend was already out of service
		}
		at = h.notifiedAt(change)
		removed = !change.Ready
	}
	return at, removed
}

// notifiedAt returns the time by which gateways must have been notified of a change.
func (h *History) notifiedAt(change ListChange) time.Duration {
	at := change.At + watchDelay
	if h.SlowDiscovery {
		at = change.At + maxNotifyDelay
	}
	for _, outage := range h.Outages {
		// A watch that was open during the outage delivers no change, even after the outage, and gateways take up to
		// maxNotifyDelay to open a new watch.
		if change.At > outage.From-watchDelay && change.At < outage.To+maxNotifyDelay {
			at = max(change.At, outage.To) + maxNotifyDelay
		}
	}
	return at
}
