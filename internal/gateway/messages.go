package gateway

import "amberlb/policy"

// message is a message from another goroutine to the event loop. All message types are in this file;
// eventLoop.handleMessage handles them.
type message interface {
	isMessage()
}

// requestArrived passes a client request to the loop after the request has been read completely. The loop sends the
// final answer on the request's response channel.
type requestArrived struct{ request *clientRequest }

// clientDisconnected reports that the client of a request has closed its connection or its sending side. The sender of
// the message sets the request's disconnected flag first, since the loop may handle the message late.
type clientDisconnected struct{ request *clientRequest }

// attemptDone reports the result of an attempt from the transport.
type attemptDone struct {
	attempt *attempt
	result  attemptResult
}

// counterCallDone reports the outcome of a call to the counter, even if the loop has already timed the call out.
type counterCallDone struct {
	call    *counterCall
	outcome policy.Outcome
	total   float64 // the key's total after the addition; 0 unless the outcome is policy.Served
}

// shutdownStarted reports that a graceful shutdown has begun.
type shutdownStarted struct {
	answerBy float64 // deadline for the answers to all requests, in seconds of the loop's clock
}

// endpointListReceived passes a response from discovery to the loop.
type endpointListReceived struct {
	list EndpointList
	kind policy.ListKind
}

func (requestArrived) isMessage()       {}
func (clientDisconnected) isMessage()   {}
func (attemptDone) isMessage()          {}
func (counterCallDone) isMessage()      {}
func (shutdownStarted) isMessage()      {}
func (endpointListReceived) isMessage() {}
