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

var errNoTotal = errors.New("no total")

// readTotal reads the answer to a call. An answer that can't be read
// says that the amount was added and no more. After it, and where a body has no
// end of its own, the connection can't be trusted with the next call's.
func readTotal(reader *bufio.Reader, request *http.Request) (policy.Outcome, float64, error) {
	resp, err := http.ReadResponse(reader, request)
	if err != nil {
		return policy.Failed, 0, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTotalBytes+1))
	resp.Body.Close()
	switch {
	case err != nil:
		return policy.Failed, 0, err
	case len(body) > maxTotalBytes, !hasDelimitedBody(resp):
		return policy.Failed, 0, errNoTotal
	}
	switch resp.StatusCode {
	case http.StatusOK:
		total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
		if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
			return policy.Failed, 0, errNoTotal
		}
		return policy.Served, total, nil
	case http.StatusServiceUnavailable:
		return policy.Rejected, 0, nil
	case http.StatusBadRequest, http.StatusNotFound:
		return policy.ConnectFailed, 0, nil // nothing was added
	}
	return policy.ConnectionReset, 0, fmt.Errorf("status %s", resp.Status) // which proves nothing
}
