package policy

import (
	"fmt"
	"testing"
)

// After a client has disconnected, events that concern its request still arrive. None of these events may start an
// attempt: no first attempt, no retry and no hedged request.
func TestNothingIsSentAfterClientDisconnects(t *testing.T) {
	slow := func(id RequestID) Event {
		return TimerFired{Token: timerToken{kind: slowAttemptTimer, request: id}.pack()}
	}
	ends := func(outcome Outcome) func(RequestID, BackendID) []Event {
		return func(id RequestID, backend BackendID) []Event {
			return []Event{AttemptEnded{Request: id, Backend: backend, Outcome: outcome, Latency: 0.05}}
		}
	}
	for name, events := range map[string]func(id RequestID, backend BackendID) []Event{
		"rejected":         ends(Rejected),
		"connect failed":   ends(ConnectFailed),
		"not sent":         ends(NotSent),
		"connection reset": ends(ConnectionReset),
		"failed":           ends(Failed),
		"timed out":        ends(TimedOut),
		"cancelled":        ends(Cancelled),
		"slow":             func(id RequestID, _ BackendID) []Event { return []Event{slow(id)} },
		"slow, then rejected": func(id RequestID, backend BackendID) []Event {
			return []Event{slow(id), AttemptEnded{Request: id, Backend: backend, Outcome: Rejected}}
		},
		"deadlines": func(id RequestID, _ BackendID) []Event {
			return []Event{timerFired(sendDeadlineTimer, id), timerFired(answerDeadlineTimer, id)}
		},
		"backend removed": func(RequestID, BackendID) []Event {
			return []Event{EndpointsUpdated{Kind: FullList, Entries: readyBackends(3)}, timerFired(maintenanceTimer, 0)}
		},
	} {
		for _, canCancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %t", name, canCancel), func(t *testing.T) {
				set := testSettings()
				set.CanCancel = canCancel
				d := startEngine(t, set, readyBackends(6)...)
				served := d.sendRequest(0, 1, 1) // so that the mean latency is known
				backend := onlyAction[SendAttempt](t, d.lastActions).Backend
				d.now += 0.02
				d.handle(AttemptEnded{Request: served, Backend: backend, Latency: 0.02, RequestOver: true})
				id := d.sendRequest(0, 1, 1)
				first := onlyAction[SendAttempt](t, d.lastActions)
				d.now += 0.1
				d.handle(ClientDisconnected{Request: id})
				for _, event := range events(id, first.Backend) {
					d.now += 0.1
					if sends := actionsOf[SendAttempt](d.handle(event)); len(sends) > 0 {
						t.Errorf("sent %v after the client had disconnected", sends)
					}
				}
			})
		}
	}
}

// No attempt is started for a request whose client disconnected while the request was waiting for units.
func TestNothingIsSentForWaitingRequestAfterClientDisconnects(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(2)...)
	d.nextID++
	out := d.handle(Request{ID: d.nextID, Plan: 1, Customer: 1, Units: 30, Gateways: 2, Deadline: d.now + 2})
	lease := onlyAction[CounterAdd](t, out)
	d.handle(ClientDisconnected{Request: d.nextID})
	if sends := actionsOf[SendAttempt](d.handle(CounterReply{Name: lease.Name, Total: lease.Amount})); len(sends) > 0 {
		t.Errorf("sent %v for a client that disconnected before the units were granted", sends)
	}
}

// No attempt is started for a request whose client disconnected while the request was queued at the concurrency limit.
func TestNothingIsSentForQueuedRequestAfterClientDisconnects(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(2)...)
	d.engine.limiter.limit = 3
	var inFlight []SendAttempt
	var queued RequestID
	for customer := CustomerID(1); queued == 0; customer++ {
		id := d.sendRequest(0, 1, customer)
		if sends := actionsOf[SendAttempt](d.lastActions); len(sends) > 0 {
			inFlight = append(inFlight, sends...)
			continue
		}
		queued = id
		if d.engine.openRequest(id) == nil {
			t.Fatal("the request was rejected, not queued")
		}
	}
	d.now += 0.05
	d.handle(ClientDisconnected{Request: queued})
	for _, s := range inFlight {
		out := d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.05, RequestOver: true})
		if sends := actionsOf[SendAttempt](out); len(sends) > 0 {
			t.Errorf("sent %v for a client that disconnected while its request was queued", sends)
		}
	}
}
