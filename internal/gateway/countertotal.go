package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"amberlb/policy"
)

// maxTotalBodyBytes is the maximum size of a response body from the counter, in bytes.
const maxTotalBodyBytes = 64

// Errors for a malformed response, after which the connection must not be used.
var (
	errTotalTooLong   = errors.New("counter: response body is too long for a total")
	errMalformedTotal = errors.New("counter: response body is not a finite number")
)

// counterStatusError reports a response with an unexpected status, which doesn't show whether the amount was added.
type counterStatusError struct {
	status string
}

func (e *counterStatusError) Error() string {
	return fmt.Sprintf("counter: unexpected status %s", e.status)
}

// readTotal reads the response to a call. It returns the outcome for the response's status, and also the total if the
// outcome is policy.Served. Status 503 gives policy.Rejected. Status 400 or 404 gives policy.ConnectFailed: the counter
// has refused the call, so the amount was not added. A malformed or incomplete response gives policy.Failed: the amount
// counts as added, and the total is unknown. An unexpected status gives policy.ConnectionReset: it is unknown whether
// the amount was added. After an error, no further response can be read from the connection.
func readTotal(reader *bufio.Reader, request *http.Request) (policy.Outcome, float64, error) {
	resp, err := http.ReadResponse(reader, request)
	if err != nil {
		return policy.Failed, 0, err
	}
	body, err := readTotalBody(resp)
	if err != nil {
		return policy.Failed, 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		total, err := parseTotal(body)
		if err != nil {
			return policy.Failed, 0, err
		}
		return policy.Served, total, nil
	case http.StatusServiceUnavailable:
		return policy.Rejected, 0, nil
	case http.StatusBadRequest, http.StatusNotFound:
		return policy.ConnectFailed, 0, nil // the counter has refused the call, so the amount was not added
	}
	return policy.ConnectionReset, 0, &counterStatusError{resp.Status}
}

// readTotalBody reads and closes the body of a response.
func readTotalBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTotalBodyBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxTotalBodyBytes:
		return nil, errTotalTooLong
	case !hasDelimitedBody(resp):
		return nil, errUndelimitedBody
	}
	return body, nil
}

// parseTotal parses the body of a response with status 200.
func parseTotal(body []byte) (float64, error) {
	total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
	if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
		return 0, errMalformedTotal
	}
	return total, nil
}
