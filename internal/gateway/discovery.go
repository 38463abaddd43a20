package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"
)

const (
	endpointsPath         = "/registry/instances"
	maxListBytes          = 4 << 20          // bytes of one answer
	maxDiscoveryConns     = 2                // bounds the descriptors that discovery takes
	discoveryWarnInterval = 10 * time.Second // between log lines while discovery stays down
)

// invalidListError reports that discovery answered with something else than a usable list. The version
// that was asked from may be the cause, so the next poll asks for the full list.
type invalidListError struct {
	status string // of the answer, if it is not 200
	cause  error  // what is wrong with the body of one that is
}

func (e *invalidListError) Error() string {
	if e.cause == nil {
		return "status " + e.status
	}
	return "list: " + e.cause.Error()
}

func (e *invalidListError) Unwrap() error { return e.cause }

// discoveryWatcher follows discovery by long polls and hands on each answer. The goroutine that calls run
// owns all of its fields.
type discoveryWatcher struct {
	address  string
	timeouts pollTimeouts
	client   *http.Client
	onList   func(EndpointList)
	log      *slog.Logger

	generation       int64     // the version of the last list that arrived
	hasList          bool      // a full list has arrived: the next poll is a watch from generation
	listInUse        bool      // requests are routed by a list, possibly an older one
	fullListTimeouts int       // polls for the full list, in a row, that timed out
	warnedAt         time.Time // of the last log line about a failed poll
}

// newDiscoveryWatcher makes a watcher of the discovery at an address, for a gateway that may go on sending
// to a draining backend for drainGrace. listInUse says that requests are routed by an older list
// meanwhile. onList is called on the goroutine of run.
func newDiscoveryWatcher(
	address string, drainGrace time.Duration, listInUse bool, onList func(EndpointList),
) *discoveryWatcher {
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: maxDiscoveryConns}
	return &discoveryWatcher{
		address:   address,
		timeouts:  newPollTimeouts(drainGrace),
		client:    &http.Client{Transport: transport},
		onList:    onList,
		log:       slog.Default(),
		listInUse: listInUse,
	}
}

// run polls until ctx ends: first for the full list, from then on for changes. A failed poll is repeated
// soon, on a new connection, from the last version that arrived; what changed meanwhile comes with its
// answer.
func (w *discoveryWatcher) run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	for ctx.Err() == nil {
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

// handleList notes the version of a list and hands it on.
func (w *discoveryWatcher) handleList(list EndpointList) {
	w.generation = list.Generation
	w.hasList = true
	w.listInUse = true
	w.fullListTimeouts = 0
	w.onList(list)
}

// handleFailure decides what the next poll asks for after one that failed, and logs the failure now and then.
func (w *discoveryWatcher) handleFailure(ctx context.Context, err error) {
	var invalidList *invalidListError
	if errors.As(err, &invalidList) {
		w.hasList = false
	}
	if !w.hasList && errors.Is(err, context.DeadlineExceeded) {
		w.fullListTimeouts++
	}
	if ctx.Err() == nil && time.Since(w.warnedAt) > discoveryWarnInterval {
		w.warnedAt = time.Now()
		w.log.Warn("discovery poll failed", "address", w.address, "error", err)
	}
}

// poll asks for the full list, or for the changes to the last one, and waits for the answer.
func (w *discoveryWatcher) poll(ctx context.Context) (EndpointList, error) {
	url := "http://" + w.address + endpointsPath
	timeout := w.timeouts.fullListTimeout(w.fullListTimeouts, w.listInUse)
	if w.hasList {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", w.generation, w.timeouts.longPoll.Milliseconds())
		timeout = w.timeouts.watchTimeout()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := w.get(ctx, url)
	if err != nil {
		return EndpointList{}, err
	}
	list, err := decodeEndpointList(body, !w.hasList)
	if err != nil {
		return EndpointList{}, &invalidListError{cause: err}
	}
	return list, nil
}

// get returns the body of an answer with status 200. Another status is an invalidListError.
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
