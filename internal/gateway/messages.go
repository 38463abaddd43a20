package gateway

import "amberlb/policy"

// message is what other goroutines send to the event loop. The types of this file are all that there are;
// eventLoop.handleMessage names what each leads to.
type message interface {
	isMessage()
}

// requestArrived hands a client's request, read to its last byte, to the loop. Its final answer comes on the
// request's response channel.
type requestArrived struct{ request *clientRequest }

// clientDisconnected reports that the client of a request has closed its connection or its sending. The sender has
// set the request's disconnected flag before, since the loop may be behind.
type clientDisconnected struct{ request *clientRequest }

// attemptDone reports the end of an attempt that the transport carried out.
type attemptDone struct {
	attempt *attempt
	result  attemptResult
}

// counterCallDone reports the end of a call to the counter, also of one that the loop has timed out.
type counterCallDone struct {
	call    *counterCall
	outcome policy.Outcome
	total   float64 // of the key after the addition; 0 unless the call was served
}

// shutdownStarted reports that the gateway has been asked to stop.
type shutdownStarted struct {
	answerBy float64 // seconds of the loop's clock: by then all requests are to be answered
}

// endpointListReceived carries a response of discovery.
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
