package wire

// Codes of the records in a batch. Each comment begins with the record's name in the specification of the
// simulator's protocol.
const (
	codeStartInstance      = 16 // Attach: starts an instance with a seed and its settings
	codeEndpointUpdate     = 17 // Sync: discovery sent an instance the endpoint list, or changes to it
	codeRequest            = 18 // Ask: a client sent a request
	codeResponseStarted    = 19 // Established: a streamed response has started
	codeAttemptEnd         = 20 // AttemptEnd: an attempt has ended; the end is reported once
	codeClientDisconnected = 21 // Aborted: the client of a request has disconnected
	codeTimerFired         = 22 // Alarm: a timer has expired
	codeProbeResult        = 23 // Checked: a health check of a backend has a result
	codePeerMessage        = 24 // PeerData: another instance sent a message
	codeStopInstance       = 25 // Teardown: the instance was killed
	codeCounterReply       = 26 // CounterReply: the counter replied to an addition
	codeDefineEndpointList = 27 // Manifest: defines a numbered endpoint list, for Sync records of any instance
	codeInstanceEvents     = 28 // For: names the instance that the next records are for
)

// Codes of the records in a reply. Batches and replies have separate sets of codes.
const (
	codeProbe           = 80 // AskLoad: send a health check to a backend
	codeCancelAttempt   = 81 // DropAttempt: cancel an attempt
	codeSetTimer        = 82 // Sleep: set a timer
	codeCounterAdd      = 85 // Count: add an amount to a total of the counter
	codeRejectRequest   = 86 // Decline: final answer that rejects a request; a retry is safe
	codeInstanceActions = 87 // Speaking: names the instance that the next records come from
	codePollEndpoints   = 88 // StreamChanges: subscribe to the changes of the endpoint list, or unsubscribe
	codeFailRequest     = 89 // Abort: final answer that fails a request, which may have taken effect
	codeSendAttempt     = 91 // PassOn: send an attempt to a backend
	codeLog             = 92 // Log: add a line to the simulator's report
)
