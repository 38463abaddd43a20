package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	endpointsPath      = "/registry/instances"
	maxListBytes       = 4 << 20  // bytes; maximum size of a response body
	maxListHeaderBytes = 8 << 10  // bytes; maximum size of a response's header
	firstBufferBytes   = 64 << 10 // bytes; size of the first buffer for a body of unknown length

	// listsKind is the kind of the memory budget for response bodies, and listsMemory the size of the budget in bytes. A
	// body of unknown length is copied when its buffer grows.
	listsKind   = "lists"
	listsMemory = 2*maxListBytes + 1
)

var (
	// errListTooLong is returned for a response body of more than maxListBytes.
	errListTooLong = errors.New("the endpoint list is too long")
	// errListStalled is returned if no byte of a response body arrived for bodyStallTimeout.
	errListStalled = errors.New("the body of the response has stalled")
	// errOlderGeneration is returned for changes up to a generation before the one in the query: another process of
	// discovery has sent them, which counts from the beginning. What it has told before is not known.
	errOlderGeneration = errors.New("the changes have an older generation than the list they apply to")
)

// invalidListError reports a response from discovery that holds no valid list. Discovery may have rejected the
// generation in the query of a watch, so the next call asks for the full list.
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

// dialFunc opens a connection, like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// discoverySource is one address of discovery with the connections to it.
type discoverySource struct {
	address string
	number  int // position in the sequence of addresses that the watcher has been given
	client  *http.Client
}

// newDiscoverySource returns a source whose calls open connections with dial, at most maxConns at a time.
func newDiscoverySource(address string, number, maxConns int, dial dialFunc) *discoverySource {
	return &discoverySource{
		address: address,
		number:  number,
		client: &http.Client{Transport: &http.Transport{
			DialContext:            dialWithCall(dial),
			DisableCompression:     true,
			MaxConnsPerHost:        maxConns,
			MaxResponseHeaderBytes: maxListHeaderBytes,
		}},
	}
}

// callContextKey is the key of the context of a call among its own values.
type callContextKey struct{}

// dialWithCall returns a dialFunc that ends with the call that has caused it. The HTTP transport would let the dial go on
// after the call, and count it among the connections.
func dialWithCall(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		if callContext, ok := ctx.Value(callContextKey{}).(context.Context); ok {
			defer context.AfterFunc(callContext, cancel)()
		}
		return dial(ctx, network, address)
	}
}

// discoveryCall is one call for the full list or, if isWatch is set, for the changes since a generation.
type discoveryCall struct {
	source   *discoverySource
	isWatch  bool
	since    int64         // generation in the query of a watch
	longPoll time.Duration // time that discovery may hold back the response to a watch
	cancel   context.CancelFunc
}

// discoveryResult is the end of a call: the body of a response with status 200, or an error.
type discoveryResult struct {
	call    *discoveryCall
	body    []byte
	memory  reservation // memory of body; the receiver releases it
	elapsed time.Duration
	err     error
}

// url returns the address and the query of the call.
func (c *discoveryCall) url() string {
	url := "http://" + c.source.address + endpointsPath
	if c.isWatch {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", c.since, c.longPoll.Milliseconds())
	}
	return url
}

// isGivenUp reports whether the error of a call means that the gateway has ended it, rather than discovery.
func isGivenUp(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || errors.Is(err, errListStalled)
}

// do makes the call and waits for its end. The memory of the body comes from the given budget.
func (c *discoveryCall) do(ctx context.Context, budget *memoryBudget) discoveryResult {
	startedAt := time.Now()
	body, memory, err := c.get(ctx, budget)
	return discoveryResult{call: c, body: body, memory: memory, elapsed: time.Since(startedAt), err: err}
}

// get returns the body of a response with status 200. Any other status gives an invalidListError.
func (c *discoveryCall) get(ctx context.Context, budget *memoryBudget) ([]byte, reservation, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx = context.WithValue(ctx, callContextKey{}, ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(), nil)
	if err != nil {
		return nil, reservation{}, err
	}
	resp, err := c.source.client.Do(req)
	if err != nil {
		return nil, reservation{}, err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode != http.StatusOK:
		return nil, reservation{}, &invalidListError{status: resp.Status}
	case resp.ContentLength > maxListBytes:
		return nil, reservation{}, &invalidListError{cause: errListTooLong}
	}
	body, memory, err := receiveList(ctx, cancel, resp, budget)
	if err != nil && errors.Is(context.Cause(ctx), errListStalled) {
		err = errListStalled
	}
	return body, memory, err
}

// receiveList reads the body of a response after it has taken memory for it. If the body stalls, receiveList cancels ctx,
// the context of the response, with errListStalled.
func receiveList(
	ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response, budget *memoryBudget,
) ([]byte, reservation, error) {
	size := resp.ContentLength
	if size < 0 {
		size = firstBufferBytes
	}
	memory, err := budget.reserve(ctx, time.Now().Add(maxCallTime), size)
	if err != nil {
		return nil, reservation{}, err
	}
	reader := newStallReader(resp.Body, func() { cancel(errListStalled) })
	defer reader.stop()
	body, err := readListBody(reader, resp.ContentLength, &memory)
	if err != nil {
		memory.release()
		return nil, reservation{}, err
	}
	return body, memory, nil
}

// readListBody reads a body of the given length, or up to its end if the length is negative. memory holds the memory of
// the body, or of firstBufferBytes if the length is negative; a longer body takes more.
func readListBody(r io.Reader, length int64, memory *reservation) ([]byte, error) {
	if length >= 0 {
		return readExactly(r, length)
	}
	body := make([]byte, 0, firstBufferBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxListBytes:
			return nil, &invalidListError{cause: errListTooLong}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) == cap(body):
			if body, err = growListBody(body, memory); err != nil {
				return nil, err
			}
		}
	}
}

// growListBody returns a copy of body in a buffer of twice its size, at most one byte more than maxListBytes. memory
// holds the memory of body, and then of the copy.
func growListBody(body []byte, memory *reservation) ([]byte, error) {
	size := min(int64(cap(body))*2, maxListBytes+1)
	grown, err := memory.budget.reserveMore(size)
	if err != nil {
		return nil, err
	}
	memory.release()
	*memory = grown
	return append(make([]byte, 0, size), body...), nil
}

// decode decodes the body of the response to the call.
func (c *discoveryCall) decode(body []byte) (EndpointList, error) {
	list, err := decodeEndpointList(body, !c.isWatch)
	if err == nil && c.isWatch && !list.Reset && list.Generation < c.since {
		err = errOlderGeneration
	}
	return list, err
}

// stallReader reads a body and calls a function if no byte arrives for bodyStallTimeout.
type stallReader struct {
	body  io.Reader
	timer *time.Timer
}

// newStallReader returns a stallReader that calls onStall at most once. The caller must call stop.
func newStallReader(body io.Reader, onStall func()) *stallReader {
	return &stallReader{body: body, timer: time.AfterFunc(bodyStallTimeout, onStall)}
}

// Read implements io.Reader.
func (r *stallReader) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if n > 0 {
		r.timer.Reset(bodyStallTimeout)
	}
	return n, err
}

// stop ends the wait for bytes.
func (r *stallReader) stop() { r.timer.Stop() }
