package standin

import (
	"net"
	"syscall"
	"time"
)

// SleepUntil sleeps until a time, to about a tenth of a millisecond. The Go runtime's own timers may be a millisecond
// late.
func SleepUntil(at time.Time) {
	for left := time.Until(at); left > 0; left = time.Until(at) {
		pause := syscall.NsecToTimespec(int64(left))
		syscall.Nanosleep(&pause, nil)
	}
}

// HasInput reports, without blocking, whether bytes or the end of a connection wait to be read from its socket.
func HasInput(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	waits := true
	raw.Control(func(fd uintptr) {
		var first [1]byte
		_, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err != syscall.EAGAIN
	})
	return waits
}
