package gateway

import (
	"io"
	"net"
	"testing"
	"time"
)

// Times of the kernel are trusted after they have agreed with the process's clock several times, and never again after
// one has not: under a simulation, some may agree by chance.
func TestKernelClockIsTrustedOnlyWhileItAgrees(t *testing.T) {
	const long = 2 * minComparedTime
	var k kernelClock
	now := time.Now()
	compare := func(elapsed, reported time.Duration) bool {
		return k.compare(receiveAge{now, time.Second}, receiveAge{now.Add(elapsed), time.Second + reported})
	}
	for range agreementsUntilTrust {
		if k.trusted() {
			t.Fatal("trusted too early")
		}
		compare(long, long-comparisonTolerance)
		compare(minComparedTime/2, 0) // too short for the kernel's ticks
	}
	k.compare(receiveAge{}, receiveAge{now, 0}) // no report
	if !k.trusted() {
		t.Fatal("not trusted after agreements")
	}
	if compare(long, long+comparisonTolerance+1) {
		t.Error("the first disagreement is not reported")
	}
	if !compare(long, 0) {
		t.Error("a further disagreement is reported as well")
	}
	for range 2 * agreementsUntilTrust {
		compare(long, long)
	}
	if k.trusted() {
		t.Error("trusted after a disagreement")
	}
}

// A connection whose TCP_INFO is missing does not make the kernel's times trusted.
func TestKernelClockWithoutTCPInfo(t *testing.T) {
	var k kernelClock
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	first := k.receiveAgeOf(near)
	time.Sleep(minComparedTime)
	if k.compare(first, k.receiveAgeOf(near)) || k.trusted() {
		t.Error("times that stand still are not refuted")
	}
	if age := k.receiveAgeOf(near); !age.at.IsZero() {
		t.Errorf("a report after that: %v", age)
	}
}

// Requests that are open for some time make the kernel's times trusted on a real socket. From then on, the time for which
// the bytes of a read have waited is the kernel's. A request is not compared if bytes behind it wait in the socket.
func TestRequestsCompareKernelClock(t *testing.T) {
	f := newWaitFixture(t)
	conn, far := f.accept(t, requestOfFixture())
	serve := func() { // reads a request, and keeps it open for a time that is compared
		f.frontend.requestDeadline(t, conn)
		time.Sleep(minComparedTime + comparisonTolerance)
	}
	serve()
	for range agreementsUntilTrust {
		send(t, conn.Conn, far, requestOfFixture())
		serve()
	}
	if agreements := f.table.kernelClock.agreements.Load(); agreements != 0 {
		t.Errorf("%d agreements with bytes behind the requests", agreements)
	}
	for n := 0; n < 10*agreementsUntilTrust && !f.table.kernelClock.trusted(); n++ { // on a busy machine, some give no report
		time.AfterFunc(comparisonTolerance, func() { io.WriteString(far, requestOfFixture()) })
		serve()
	}
	if agreements := f.table.kernelClock.agreements.Load(); agreements != agreementsUntilTrust {
		t.Errorf("%d agreements after the requests", agreements)
	}
	if waited := f.table.wakeUpDelay(conn.Conn, time.Now()); waited < minComparedTime {
		t.Errorf("the kernel reports %v since the last bytes", waited)
	}
}
