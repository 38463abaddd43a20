package counter

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"time"

	"amberlb/internal/lab/request"
)

// Limits of what a call may state.
const (
	maxNameBytes      = 64
	maxAmount         = 1e9
	maxLifetimeMillis = 60_000 // a longer lifetime counts as this
)

// call adds an amount to a name.
type call struct {
	name     []byte // valid until the next request is read
	amount   float64
	lifetime time.Duration // of the name, if this is its first call
}

// parseCall parses a call, whose name is not unescaped. The status is 200, or that of the response to an invalid call.
func parseCall(q *request.Request) (parsed call, status int) {
	path, query, _ := bytes.Cut(q.Target, []byte("?"))
	name, found := bytes.CutPrefix(path, []byte("/v1/count/"))
	if !found || len(name) == 0 || len(name) > maxNameBytes || string(q.Method) != http.MethodPost {
		return call{}, http.StatusNotFound
	}
	amountText, lifetimeText := parseQuery(query)
	amount, err := strconv.ParseFloat(string(amountText), 64)
	if err != nil || !(math.Abs(amount) <= maxAmount) { // also if it is NaN
		return call{}, http.StatusBadRequest
	}
	lifetimeMillis, err := strconv.ParseUint(string(lifetimeText), 10, 63)
	if err != nil || lifetimeMillis < 1 {
		return call{}, http.StatusBadRequest
	}
	lifetime := time.Duration(min(lifetimeMillis, maxLifetimeMillis)) * time.Millisecond
	return call{name: name, amount: amount, lifetime: lifetime}, http.StatusOK
}

// parseQuery returns the two values of a call's query, the last ones if they are repeated.
func parseQuery(query []byte) (amount, lifetimeMillis []byte) {
	for len(query) > 0 {
		var pair []byte
		pair, query, _ = bytes.Cut(query, []byte("&"))
		key, value, _ := bytes.Cut(pair, []byte("="))
		switch string(key) {
		case "add":
			amount = value
		case "ttl_ms":
			lifetimeMillis = value
		}
	}
	return amount, lifetimeMillis
}
