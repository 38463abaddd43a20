package soak

import "time"

// History is all that was recorded in a run. All times in it are of the run's clock.
type History struct {
	ClientAttempts  []ClientAttempt
	BackendAttempts []BackendAttempt
	Processes       []Process
	ListChanges     []ListChange // by time
	Outages         []Outage     // of discovery
}

// Process is one process of a gateway, from its start to its end.
type Process struct {
	Gateway    int // number
	Number     int // of the gateway's processes, from 1
	StartedAt  time.Duration
	ReadyAt    time.Duration
	SigtermAt  time.Duration // 0: it got no SIGTERM
	SigkillAt  time.Duration // 0: it got no SIGKILL
	EndedAt    time.Duration // 0: it did not end
	Err        error         // of its end: nil for exit status 0 alone
	Log        string        // the end of its log
	signals    []signalRecord
	hardKilled bool // it got SIGKILL with no SIGTERM before
	neverReady bool
}

// signalRecord is a signal that a process got.
type signalRecord struct {
	At   time.Duration
	Name string
}

// ListChange is a change of one entry of the list of backends.
type ListChange struct {
	Backend string
	At      time.Duration
	Ready   bool // else it drains, or is removed
}

const (
	watchDelay     = 300 * time.Millisecond // within this, a watch notifies the gateways of a change
	maxNotifyDelay = 6 * time.Second        // or within this, after an outage of discovery
)

// removalNotifiedAt is when gateways count as notified of the last change of a backend before a moment. removed tells
// whether that change took the backend out of service.
func (h *History) removalNotifiedAt(backend string, moment time.Duration) (at time.Duration, removed bool) {
	for _, change := range h.ListChanges {
		if change.Backend != backend || change.At > moment {
			continue
		}
		if !change.Ready && removed {
			continue // it was out of service already
		}
		at = h.notifiedAt(change)
		removed = !change.Ready
	}
	return at, removed
}

// notifiedAt is when gateways count as notified of a change.
func (h *History) notifiedAt(change ListChange) time.Duration {
	at := change.At + watchDelay
	for _, outage := range h.Outages {
		// A watch that was silenced by the outage is opened again only after a while.
		if change.At > outage.From-watchDelay && change.At < outage.To+maxNotifyDelay {
			at = max(change.At, outage.To) + maxNotifyDelay
		}
	}
	return at
}
