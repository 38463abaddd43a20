package gateway

import (
	"net"
	"sync/atomic"
	"time"
)

// Parameters of kernelClock.
const (
	minComparedTime      = 40 * time.Millisecond // shorter times are not compared: the kernel counts in ticks of up to 10 ms
	comparisonTolerance  = 20 * time.Millisecond
	maxReportTime        = 5 * time.Millisecond // a report that takes longer does not belong to a moment
	agreementsUntilTrust = 4
)

// kernelClock decides whether times in TCP_INFO can be used. Under a simulation of time or of sockets, the kernel's clock
// does not run as the process's clock does, or TCP_INFO is missing. The times are trusted once agreementsUntilTrust of them
// have agreed with the process's clock, and never again after one has not. The methods are safe for concurrent use. The
// zero value is ready to use.
type kernelClock struct {
	agreements atomic.Int32
	refuted    atomic.Bool
}

// receiveAge is the time since the last bytes of a connection were received, as the kernel reports it. The zero value is
// no report.
type receiveAge struct {
	at  time.Time // time of the report, by the process's clock
	age time.Duration
}

// trusted reports whether the times in TCP_INFO can be used.
func (k *kernelClock) trusted() bool {
	return k.agreements.Load() >= agreementsUntilTrust && !k.refuted.Load()
}

// receiveAgeOf returns the current receiveAge of a connection. It returns no report if times are not to be compared any
// more, or if the processor was taken away meanwhile.
func (k *kernelClock) receiveAgeOf(conn net.Conn) receiveAge {
	if k.refuted.Load() {
		return receiveAge{}
	}
	report := receiveAge{at: time.Now(), age: sinceLastReceived(conn)}
	if time.Since(report.at) > maxReportTime {
		return receiveAge{}
	}
	return report
}

// compare compares two reports about a connection that has received no bytes between them. It returns false if they
// show for the first time that the kernel's clock can't be trusted.
func (k *kernelClock) compare(first, second receiveAge) bool {
	elapsed := second.at.Sub(first.at)
	if first.at.IsZero() || second.at.IsZero() || elapsed < minComparedTime {
		return true
	}
	if (second.age - first.age - elapsed).Abs() > comparisonTolerance {
		return k.refuted.Swap(true)
	}
	k.agreements.Add(1)
	return true
}
