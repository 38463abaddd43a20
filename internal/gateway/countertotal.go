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

// maxTotalBodyBytes bounds the body of an answer of the counter.
const maxTotalBodyBytes = 64

// Errors of an answer after which its connection can't be used any more.
var (
	errTotalTooLong   = errors.New("counter: the body is too long for a total")
	errMalformedTotal = errors.New("counter: the body is no finite number")
)

// counterStatusError reports a status that proves nothing: the amount may have been added or not.
type counterStatusError struct {
	status string
}

func (e *counterStatusError) Error() string { return fmt.Sprintf("counter: status %s", e.status) }

// readTotal reads the answer to a call, with the total where the outcome is Served. A malformed answer says
// that the amount was added and no more. After an error, the connection can't be trusted with the next
// call's answer.
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
		return policy.ConnectFailed, 0, nil // nothing was added
	}
	return policy.ConnectionReset, 0, &counterStatusError{resp.Status}
}

// readTotalBody reads and closes the body of an answer.
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

// parseTotal parses the body of an answer.
func parseTotal(body []byte) (float64, error) {
	total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
	if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
		return 0, errMalformedTotal
	}
	return total, nil
}
