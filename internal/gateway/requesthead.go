package gateway

import (
	"context"
	"net/http"
	"os"
	"time"
)

// admitHead checks the head of the current request as far as it has been received, and reserves the memory that it takes
// in parsed form. A head with too many fields, or for which no memory becomes free, is rejected. The error is then a
// timeout, after which the HTTP server closes the connection without a further answer.
func (c *clientConn) admitHead() error {
	head := &c.framer.head
	switch {
	case head.isTooLong():
		c.table.metrics.add(requestsTooManyFields)
		c.rejectIncomplete(http.StatusRequestHeaderFieldsTooLarge)
		return os.ErrDeadlineExceeded
	case head.needsReservation() && c.headMemory.budget == nil:
		if err := c.reserveHeadMemory(); err != nil {
			c.table.metrics.add(requestsOverMemory)
			c.rejectIncomplete(http.StatusServiceUnavailable)
			return os.ErrDeadlineExceeded
		}
	}
	if c.framer.headEnds {
		c.headMemory.shrink(head.memory())
	}
	return nil
}

// reserveHeadMemory reserves the memory of a head. The rest of an incomplete head is unknown, so the memory of the largest
// head is reserved: a reservation that grew would wait while it holds memory that others wait for.
func (c *clientConn) reserveHeadMemory() error {
	bytes := int64(maxRequestHeadMemory)
	if c.framer.headEnds {
		bytes = c.framer.head.memory()
	}
	waitUntil := c.readDeadlineBefore(time.Now().Add(c.table.maxHeadWait))
	memory, err := c.table.memory.reserve(context.Background(), waitUntil, bytes)
	if err != nil {
		return err
	}
	c.headMemory = memory
	c.beginBody(memory.budget)
	return nil
}

// takeHeadMemory returns the memory of a request's head, which the caller must release.
func takeHeadMemory(r *http.Request) (memory reservation) {
	if conn := clientConnOf(r); conn != nil {
		memory, conn.headMemory = conn.headMemory, memory
	}
	return memory
}

// shortestDeadline returns the shortest deadline of the classes in seconds; 0 if there are no classes.
func (c *Config) shortestDeadline() float64 {
	if len(c.Classes) == 0 {
		return 0
	}
	shortest := c.Classes[0].Deadline
	for _, class := range c.Classes {
		shortest = min(shortest, class.Deadline)
	}
	return shortest
}
