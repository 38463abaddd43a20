package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// discoveryWarnInterval is the minimum time between log lines about failed calls.
const discoveryWarnInterval = 10 * time.Second

// discoveryWatcher polls discovery for the endpoint list and passes each list or change to onList. It asks for the full
// list first. After the full list has arrived, each poll is a watch: a long poll for the changes since the last
// generation received. After an invalidListError the watcher asks for the full list again.
//
// A poll is one call or several. While a call has no response, it can't be known whether the response is slow or will
// never come. Therefore the watcher gives up no call for that, but begins a further one, on another connection, at the
// intervals of pollTimeouts. The first response ends the poll and its other calls.
//
// When discovery moves to another address, the first call to the new address asks for the full list. Calls to the
// earlier address go on for slowResponseTime, or until a list has arrived from the new one: with addresses in quick
// succession, the response from each would otherwise be lost.
//
// The goroutine that calls run owns all fields but moves.
type discoveryWatcher struct {
	timeouts pollTimeouts
	dial     dialFunc
	onList   func(EndpointList)
	memory   *memoryBudget // for the bodies of responses
	metrics  *metrics
	log      *slog.Logger

	moves   chan string          // the newest address that the goroutine of run has not taken up; capacity 1
	results chan discoveryResult // ends of calls
	running sync.WaitGroup       // goroutines of calls

	source   *discoverySource // the newest address
	calls    []*discoveryCall // open calls, oldest first
	nextCall *time.Timer      // fires when the next call begins
	nextAt   time.Time        // time at which nextCall fires
	pace     responsePace

	generation int64     // EndpointList.Generation of the last list received from source
	canWatch   bool      // the next call is a watch; if false, the next call asks for the full list
	listInUse  bool      // the gateway routes requests by a cached list or a list from discovery
	unanswered int       // number of calls of this poll that were added because earlier ones had no response yet
	failures   int       // number of calls of this poll that have failed
	warnedAt   time.Time // time of the last log line about a failed call
}

// newDiscoveryWatcher returns a watcher for the discovery service at the given address. drainGrace is the time after
// the start of a backend's drain in which the gateway may still send requests to the backend. listInUse is true if the
// gateway already routes requests by an endpoint list. onList is called on the goroutine of run.
func newDiscoveryWatcher(
	address string, drainGrace time.Duration, listInUse bool, onList func(EndpointList),
) *discoveryWatcher {
	w := &discoveryWatcher{
		timeouts:  newPollTimeouts(drainGrace),
		dial:      new(net.Dialer).DialContext,
		onList:    onList,
		metrics:   &metrics{},
		log:       slog.Default(),
		moves:     make(chan string, 1),
		results:   make(chan discoveryResult),
		listInUse: listInUse,
	}
	w.moves <- address
	return w
}

// setAddress makes the watcher poll discovery at another address. It must not be called concurrently.
func (w *discoveryWatcher) setAddress(address string) {
	select {
	case <-w.moves:
	default:
	}
	w.moves <- address
}

// run polls until ctx ends.
func (w *discoveryWatcher) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer w.stop(cancel)
	w.memory = newMemoryBudget(listsKind, listsMemory, w.log)
	w.nextCall = time.NewTimer(maxCallTime)
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-w.moves:
			w.move(ctx, address)
		case result := <-w.results:
			w.handleResult(ctx, result)
		case <-w.nextCall.C:
			if w.awaitsResponse() {
				w.unanswered++
			}
			w.beginCall(ctx)
		}
	}
}

// stop ends all calls, and waits for their goroutines.
func (w *discoveryWatcher) stop(cancelCalls context.CancelFunc) {
	cancelCalls()
	w.running.Wait()
	w.nextCall.Stop()
	if w.source != nil {
		w.source.client.CloseIdleConnections()
	}
}

// move makes the calls that begin from now on go to another address.
func (w *discoveryWatcher) move(ctx context.Context, address string) {
	number := 0
	if w.source != nil {
		if address == w.source.address {
			return
		}
		number = w.source.number + 1
		w.source.client.CloseIdleConnections()
		for _, call := range w.calls {
			if call.source == w.source {
				time.AfterFunc(slowResponseTime, call.cancel)
			}
		}
	}
	w.source = newDiscoverySource(address, number, w.timeouts.maxCalls(), w.dial)
	w.canWatch = false // another process may be at the new address, with generations of its own
	w.beginPoll(ctx)
}

// beginPoll begins the first call of a poll.
func (w *discoveryWatcher) beginPoll(ctx context.Context) {
	w.unanswered = 0
	w.failures = 0
	w.beginCall(ctx)
}

// beginCall begins a call, and schedules the next one for the case that no response comes. If too many calls are open,
// the one after the oldest gives way (see pollTimeouts.maxCalls).
func (w *discoveryWatcher) beginCall(ctx context.Context) {
	if len(w.calls) >= w.timeouts.maxCalls() {
		w.giveUp(w.calls[1])
	}
	callContext, cancel := context.WithTimeout(ctx, maxCallTime)
	call := &discoveryCall{
		source:   w.source,
		isWatch:  w.canWatch,
		since:    w.generation,
		longPoll: w.timeouts.longPoll,
		cancel:   cancel,
	}
	w.calls = append(w.calls, call)
	w.metrics.add(discoveryCalls)
	w.running.Go(func() {
		defer cancel()
		w.deliver(ctx, call.do(callContext, w.memory))
	})
	if call.isWatch {
		w.schedule(w.timeouts.watchInterval(w.pace))
	} else {
		w.schedule(w.timeouts.fullListInterval(w.unanswered, w.listInUse, w.pace))
	}
}

// schedule makes the next call begin after the given time.
func (w *discoveryWatcher) schedule(delay time.Duration) {
	w.nextAt = time.Now().Add(delay)
	w.nextCall.Reset(delay)
}

// awaitsResponse reports whether a call to the newest address is open.
func (w *discoveryWatcher) awaitsResponse() bool {
	return slices.ContainsFunc(w.calls, func(c *discoveryCall) bool { return c.source == w.source })
}

// giveUp ends an open call.
func (w *discoveryWatcher) giveUp(call *discoveryCall) {
	w.remove(call)
	call.cancel()
	w.metrics.add(discoveryUnanswered)
}

// remove removes a call from the open calls. It returns false if the call was not open any more.
func (w *discoveryWatcher) remove(call *discoveryCall) bool {
	index := slices.Index(w.calls, call)
	if index < 0 {
		return false
	}
	w.calls = slices.Delete(w.calls, index, index+1)
	return true
}

// handleResult handles the end of a call. Calls that have been given up are ignored.
func (w *discoveryWatcher) handleResult(ctx context.Context, result discoveryResult) {
	defer result.memory.release()
	if !w.remove(result.call) {
		return
	}
	if result.err != nil {
		w.handleFailure(result.call, result.err)
		return
	}
	list, err := result.call.decode(result.body)
	if err != nil {
		w.handleFailure(result.call, &invalidListError{cause: err})
		return
	}
	w.handleList(result, list)
	if result.call.source == w.source {
		w.beginPoll(ctx)
	}
}

// handleList passes a list to onList. It ends all other calls to the same address and to earlier ones, whose responses
// could be older.
func (w *discoveryWatcher) handleList(result discoveryResult, list EndpointList) {
	call := result.call
	for _, other := range slices.Clone(w.calls) {
		if other.source.number <= call.source.number {
			w.giveUp(other)
		}
	}
	if call.isWatch {
		w.pace.observeWatch(result.elapsed, call.longPoll, list.Reset || len(list.Entries) > 0)
	} else {
		w.pace.observeFullList(result.elapsed)
	}
	if call.source == w.source {
		w.generation = list.Generation
		w.canWatch = w.canWatch || list.Reset
	}
	w.listInUse = true
	w.onList(list)
}

// handleFailure handles the error of a call. A failed call to an earlier address has no effect. After an invalid list, or
// if nobody listens at the address of discovery, the next call asks for the full list. The next call begins after
// watchRetryDelay. If other calls are open, the delay doubles with each failure.
func (w *discoveryWatcher) handleFailure(call *discoveryCall, err error) {
	if isGivenUp(err) {
		w.metrics.add(discoveryUnanswered)
	} else {
		w.metrics.add(discoveryFailed)
	}
	w.warn(call, err)
	if call.source != w.source {
		return
	}
	call.source.client.CloseIdleConnections()
	var invalidList *invalidListError
	if errors.As(err, &invalidList) || errors.Is(err, syscall.ECONNREFUSED) {
		w.canWatch = false // another process may be at the address by the next call, with generations of its own
	}
	delay := watchRetryDelay
	if w.awaitsResponse() {
		delay <<= min(w.failures, maxRetryBackoff)
	}
	w.failures++
	if time.Now().Add(delay).Before(w.nextAt) {
		w.schedule(delay)
	}
}

// warn logs the error of a failed call, at most once in discoveryWarnInterval.
func (w *discoveryWatcher) warn(call *discoveryCall, err error) {
	if time.Since(w.warnedAt) <= discoveryWarnInterval {
		return
	}
	w.warnedAt = time.Now()
	w.log.Warn("discovery poll failed", "address", call.source.address, "error", err)
}

// deliver passes the end of a call to the goroutine of run, unless the watcher is stopping.
func (w *discoveryWatcher) deliver(ctx context.Context, result discoveryResult) {
	select {
	case w.results <- result:
	case <-ctx.Done():
		result.memory.release()
	}
}
