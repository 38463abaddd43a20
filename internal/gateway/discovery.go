package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"syscall"
	"time"
)

// errOlderGeneration is returned for changes up to a generation before the one in the query: another process of discovery
// has sent them, which counts from the beginning. What it has told before is not known.
var errOlderGeneration = errors.New("the changes have an older generation than the list they apply to")

const (
	endpointsPath         = "/registry/instances"
	maxListBytes          = 4 << 20          // bytes; maximum size of a response body
	maxListHeaderBytes    = 8 << 10          // bytes; maximum size of a response's header
	maxDiscoveryConns     = 2                // maximum number of connections, to save file descriptors
	discoveryWarnInterval = 10 * time.Second // minimum time between log lines about failed polls
)

// invalidListError reports a response from discovery that holds no valid list. Discovery may have rejected the
// generation in the query of a watch, so the next poll asks for the full list.
type invalidListError struct {
	status string // status of the response; empty if the status is 200
	cause  error  // error in the body of the response; nil if the status is not 200
}

func (e *invalidListError) Error() string {
	if e.cause == nil {
		return "unexpected status " + e.status
	}
	return "invalid endpoint list: " + e.cause.Error()
}

func (e *invalidListError) Unwrap() error { return e.cause }

// discoveryWatcher polls discovery for the endpoint list and passes each list or change to onList. It asks for the full
// list first. After the full list has arrived, each poll is a watch: a long poll for the changes since the last
// generation received. After an invalidListError the watcher asks for the full list again. The goroutine that calls run
// owns all fields.
type discoveryWatcher struct {
	address  string
	timeouts pollTimeouts
	client   *http.Client
	onList   func(EndpointList)
	metrics  *metrics
	log      *slog.Logger

	generation       int64     // EndpointList.Generation of the last list received
	canWatch         bool      // the next poll is a watch; if false, the next poll asks for the full list
	listInUse        bool      // the gateway routes requests by a cached list or a list from discovery
	fullListTimeouts int       // number of consecutive polls for the full list that have timed out
	warnedAt         time.Time // time of the last log line about a failed poll
}

// newDiscoveryWatcher returns a watcher for the discovery service at the given address. drainGrace is the time after
// the start of a backend's drain in which the gateway may still send requests to the backend. listInUse is true if the
// gateway already routes requests by an endpoint list. onList is called on the goroutine of run.
func newDiscoveryWatcher(
	address string, drainGrace time.Duration, listInUse bool, onList func(EndpointList),
) *discoveryWatcher {
	transport := &http.Transport{
		DisableCompression:     true,
		MaxConnsPerHost:        maxDiscoveryConns,
		MaxResponseHeaderBytes: maxListHeaderBytes,
	}
	return &discoveryWatcher{
		address:   address,
		timeouts:  newPollTimeouts(drainGrace),
		client:    &http.Client{Transport: transport},
		onList:    onList,
		metrics:   &metrics{},
		log:       slog.Default(),
		listInUse: listInUse,
	}
}

// run polls until ctx ends. After a failed poll, the next poll begins after watchRetryDelay, on a new connection. If
// the next poll is a watch, it asks for the changes since the last generation received, so its response includes all
// changes made in the meantime.
func (w *discoveryWatcher) run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	for ctx.Err() == nil {
		w.metrics.add(discoveryCalls)
		list, err := w.poll(ctx)
		if err == nil {
			w.handleList(list)
			continue
		}
		w.handleFailure(ctx, err)
		w.client.CloseIdleConnections()
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

// handleList records the generation of a list and passes the list to onList.
func (w *discoveryWatcher) handleList(list EndpointList) {
	w.generation = list.Generation
	w.canWatch = true
	w.listInUse = true
	w.fullListTimeouts = 0
	w.onList(list)
}

// handleFailure handles the error of a failed poll. After an invalid list, or if nobody listens at the address of
// discovery, the next poll asks for the full list. After a poll for the full list has timed out, the next poll gets a
// longer timeout. handleFailure logs at most one error in discoveryWarnInterval.
func (w *discoveryWatcher) handleFailure(ctx context.Context, err error) {
	var invalidList *invalidListError
	if errors.As(err, &invalidList) || errors.Is(err, syscall.ECONNREFUSED) {
		w.canWatch = false // another process may be at the address by the next poll, with generations of its own
	}
	timedOut := errors.Is(err, context.DeadlineExceeded)
	if !w.canWatch && timedOut {
		w.fullListTimeouts++
	}
	if timedOut {
		w.metrics.add(discoveryUnanswered)
	} else if ctx.Err() == nil {
		w.metrics.add(discoveryFailed)
	}
	if ctx.Err() == nil && time.Since(w.warnedAt) > discoveryWarnInterval {
		w.warnedAt = time.Now()
		w.log.Warn("discovery poll failed", "address", w.address, "error", err)
	}
}

// poll asks for the full list, or for the changes since the last generation, and waits for the response.
func (w *discoveryWatcher) poll(ctx context.Context) (EndpointList, error) {
	url := "http://" + w.address + endpointsPath
	timeout := w.timeouts.fullListTimeout(w.fullListTimeouts, w.listInUse)
	if w.canWatch {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", w.generation, w.timeouts.longPoll.Milliseconds())
		timeout = w.timeouts.watchTimeout()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := w.get(ctx, url)
	if err != nil {
		return EndpointList{}, err
	}
	list, err := decodeEndpointList(body, !w.canWatch)
	if err == nil && w.canWatch && !list.Reset && list.Generation < w.generation {
		err = errOlderGeneration
	}
	if err != nil {
		return EndpointList{}, &invalidListError{cause: err}
	}
	return list, nil
}

// get returns the body of a response with status 200. Any other status gives an invalidListError.
func (w *discoveryWatcher) get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &invalidListError{status: resp.Status}
	}
	return body, nil
}
