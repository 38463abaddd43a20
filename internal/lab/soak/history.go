package soak

import "time"

// History holds all records of a run. All times are on the run's clock.
type History struct {
	ClientAttempts  []ClientAttempt
	BackendAttempts []BackendAttempt
	Processes       []Process
	ListChanges     []ListChange // by time
	Outages         []Outage     // of discovery
}

// Process is the record of one process of a gateway, from its start to its end.
type Process struct {
	Gateway    int // number of the gateway
	Number     int // counts the processes of the gateway, from 1
	StartedAt  time.Duration
	ReadyAt    time.Duration
	SigtermAt  time.Duration // 0: it got no SIGTERM
	SigkillAt  time.Duration // 0: it got no SIGKILL
	EndedAt    time.Duration // 0: it did not end
	Err        error         // how it ended; nil only for exit status 0
	Log        string        // the last part of its log
	signals    []signalRecord
	hardKilled bool // it got a hard kill (see Stop), or SIGKILL because the run was interrupted during its start
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
	watchDelay     = 300 * time.Millisecond // longest time until an open watch has notified the gateways of a change
	maxNotifyDelay = 6 * time.Second        // the same after an outage of discovery, when gateways have to open a new watch
)

// removalNotifiedAt returns the time from which gateways are taken to know that a backend is out of service (draining or
// removed). removed is false, and at has no meaning, if the backend was in service at the given moment.
func (h *History) removalNotifiedAt(backend string, moment time.Duration) (at time.Duration, removed bool) {
	for _, change := range h.ListChanges {
		if change.Backend != backend || change.At > moment {
			continue
		}
		if !change.Ready && removed {
			continue // it was already out of service
		}
		at = h.notifiedAt(change)
		removed = !change.Ready
	}
	return at, removed
}

// notifiedAt returns the time from which gateways are taken to know of a change.
func (h *History) notifiedAt(change ListChange) time.Duration {
	at := change.At + watchDelay
	for _, outage := range h.Outages {
		// A watch that was open during the outage stays silent, and gateways open a new one only after a while.
		if change.At > outage.From-watchDelay && change.At < outage.To+maxNotifyDelay {
			at = max(change.At, outage.To) + maxNotifyDelay
		}
	}
	return at
}
