package counter

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"time"

	"amberlb/internal/lab/request"
)

// Limits of the values in a call.
const (
	maxNameBytes      = 64
	maxAmount         = 1e9
	maxLifetimeMillis = 60_000 // longest lifetime; longer lifetimes are reduced to maxLifetimeMillis
)

// call is a request to add an amount to the total of a name.
type call struct {
	name     []byte // valid until the next request is read
	amount   float64
	lifetime time.Duration // lifetime of the name; used only if the call creates the name
}

// parseCall parses a call. Percent-encoding in the name is not decoded. The result status is 200 for a valid call, else
// the status of the error response.
func parseCall(q *request.Request) (parsed call, status int) {
	path, query, _ := bytes.Cut(q.Target, []byte("?"))
	name, found := bytes.CutPrefix(path, []byte("/v1/count/"))
	if !found || len(name) == 0 || len(name) > maxNameBytes || string(q.Method) != http.MethodPost {
		return call{}, http.StatusNotFound
	}
	amountText, lifetimeText := parseQuery(query)
	amount, err := strconv.ParseFloat(string(amountText), 64)
	if err != nil || !(math.Abs(amount) <= maxAmount) { // the negation also rejects NaN
		return call{}, http.StatusBadRequest
	}
	lifetimeMillis, err := strconv.ParseUint(string(lifetimeText), 10, 63)
	if err != nil || lifetimeMillis < 1 {
		return call{}, http.StatusBadRequest
	}
	lifetime := time.Duration(min(lifetimeMillis, maxLifetimeMillis)) * time.Millisecond
	return call{name: name, amount: amount, lifetime: lifetime}, http.StatusOK
}

// parseQuery returns the values of add and ttl_ms in a call's query. If a parameter is repeated, its last value is
// returned.
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
