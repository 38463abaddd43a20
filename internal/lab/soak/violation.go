package soak

import (
	"fmt"
	"strings"
)

// Invariant identifies a property that must hold for every request or process.
type Invariant string

// The invariants that Check checks, each described by its violation.
const (
	LostRequest         Invariant = "lost"       // an accepted request got no complete response in time
	DuplicateExecution  Invariant = "duplicate"  // a non-idempotent request ran twice, or two attempts overlapped
	TimeoutTooLong      Invariant = "overtime"   // the timeout sent to a backend exceeded the time that the client had left
	SentAfterDisconnect Invariant = "after left" // an attempt began after the client had disconnected
	SentToDrained       Invariant = "drained"    // an attempt began at a backend long after its drain began
	UnexpectedExit      Invariant = "crash"      // a process ended by itself with an error
	NotReady            Invariant = "not ready"  // a process did not become ready in time
	OverMemoryLimit     Invariant = "memory"     // a process used more memory than its limit
	IncompleteKept      Invariant = "kept"       // a client with an incomplete request got no answer or close in time
)

// Violation is a violation of an invariant, with the records that show it.
type Violation struct {
	Invariant       Invariant
	Detail          string
	ClientAttempt   *ClientAttempt // nil if the violation concerns a process only
	BackendAttempts []BackendAttempt
	Process         *Process // nil if the process is not known
}

// String describes a violation, with one line for each record and each signal.
func (v Violation) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s", v.Invariant, v.Detail)
	if v.ClientAttempt != nil {
		text.WriteString(describeClientAttempt(v.ClientAttempt))
	}
	for i := range v.BackendAttempts {
		text.WriteString(describeBackendAttempt(&v.BackendAttempts[i]))
	}
	if v.Process != nil {
		text.WriteString(describeProcess(v.Process))
		if v.ClientAttempt == nil {
			fmt.Fprintf(&text, "\n  log: %s", v.Process.Log)
		}
	}
	return text.String()
}

func describeClientAttempt(a *ClientAttempt) string {
	return fmt.Sprintf("\n  client: %s %s to gateway %d: sent %.3f to %.3f, timeout %.3f until %.3f, ended %.3f: "+
		"status %d, disconnected %t, resent %t, %v",
		a.ID, a.Class, a.Gateway, a.FirstByteAt.Seconds(), a.SentAt.Seconds(), a.Timeout.Seconds(),
		a.Deadline().Seconds(), a.EndedAt.Seconds(), a.Status, a.Disconnected, a.Resent, a.Err)
}

func describeBackendAttempt(a *BackendAttempt) string {
	return fmt.Sprintf("\n  backend %s: received %.3f to %.3f, timeout %.3f, ended %.3f, responded %t",
		a.Backend, a.FirstByteAt.Seconds(), a.ReceivedAt.Seconds(), a.Timeout.Seconds(), a.EndedAt.Seconds(),
		a.Responded)
}

// describeProcess describes a process and its signals.
func describeProcess(p *Process) string {
	var text strings.Builder
	fmt.Fprintf(&text, "\n  process %d of gateway %d: started %.3f, ready %.3f, ",
		p.Number, p.Gateway, p.StartedAt.Seconds(), p.ReadyAt.Seconds())
	fmt.Fprintf(&text, "SIGTERM %.3f, SIGKILL %.3f, ended %.3f: %v",
		p.SigtermAt.Seconds(), p.SigkillAt.Seconds(), p.EndedAt.Seconds(), p.Err)
	for _, signal := range p.signals {
		fmt.Fprintf(&text, "\n    %.3f %s", signal.At.Seconds(), signal.Name)
	}
	return text.String()
}
