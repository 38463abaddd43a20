package wire

// Codes of the records in a batch. Each comment begins with the word of the wire's description for the
// record.
const (
	codeStartInstance      = 16 // Attach: an instance starts with a seed and its settings
	codeEndpointUpdate     = 17 // Sync: discovery's list, or changes to it, for an instance
	codeRequest            = 18 // Ask: a client's request
	codeResponseStarted    = 19 // Established: a streamed answer has begun
	codeAttemptEnd         = 20 // AttemptEnd: the one end of an attempt
	codeClientDisconnected = 21 // Aborted: the client of a request has left
	codeTimerFired         = 22 // Alarm: a timer is due
	codeProbeResult        = 23 // Checked: the result of a health check
	codePeerMessage        = 24 // PeerData: a message of another instance
	codeStopInstance       = 25 // Teardown: the instance was killed
	codeCounterReply       = 26 // CounterReply: the answer to an addition on the counter
	codeDefineEndpointList = 27 // Manifest: a numbered list for all instances, which Sync refers to
	codeInstanceEvents     = 28 // For: the instance that the next records are for
)

// Codes of the records in a reply, which are a set of their own.
const (
	codeProbe           = 80 // AskLoad: check the health of a backend
	codeCancelAttempt   = 81 // DropAttempt: stop waiting for an attempt
	codeSetTimer        = 82 // Sleep: set a timer
	codeCounterAdd      = 85 // Count: add an amount on the counter
	codeRejectRequest   = 86 // Decline: a final answer that a retry is harmless
	codeInstanceActions = 87 // Speaking: the instance that the next records come from
	codePollEndpoints   = 88 // StreamChanges: follow discovery's changes, or stop doing so
	codeFailRequest     = 89 // Abort: a final answer of failure
	codeSendAttempt     = 91 // PassOn: send an attempt to a backend
	codeLog             = 92 // Log: a line for the report
)
