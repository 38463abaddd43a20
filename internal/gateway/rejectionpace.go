package gateway

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Limits on the pace of one connection's requests that are not served. Such requests cost the gateway work and cost their
// client nothing, so a client at full speed would make others wait for their turns.
const (
	rejectionsPerSecond = 32
	rejectionBurst      = 32
)

// answered records the status of an answer on the connection. Only the goroutine that serves the connection may call it.
func (c *clientConn) answered(status int) {
	if status == http.StatusOK {
		return
	}
	if c.rejections == nil {
		c.rejections = rate.NewLimiter(rejectionsPerSecond, rejectionBurst)
	}
	c.pause = c.rejections.Reserve().Delay()
}

// pauseBeforeRequest waits until the connection's next request may be read.
func (c *clientConn) pauseBeforeRequest() {
	if c.pause <= 0 {
		return
	}
	c.table.metrics.add(connectionsPaused)
	time.Sleep(c.pause)
	c.pause = 0
}
