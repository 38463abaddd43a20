package hostile

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"amberlb/internal/lab/ctxtime"
)

// Times of a client.
const (
	dialTimeout    = time.Second
	redialInterval = 20 * time.Millisecond
	longestStay    = 5 * time.Second        // longest wait for an answer or the connection's end
	maxUseTime     = 5 * time.Second        // longest use of a connection for requests one after another
	maxLeaveDelay  = 300 * time.Millisecond // longest time from the last byte until a client leaves
	slowPieceGap   = 100 * time.Millisecond // pause between two pieces of a slow message
	slowPieces     = 40
)

// Exchange is the record of one connection of a hostile client. Times are on the clock of the crowd.
type Exchange struct {
	Shape       Shape
	Ending      Ending
	IDs         []string      // ids of the requests that were sent completely
	ConnectedAt time.Duration // time at which the connection was established
	LeftAt      time.Duration // time at which the client closed or reset the connection; 0: it did not
	EndedAt     time.Duration // time of the first byte of an answer or of the connection's end; 0: neither came
}

// OwesError reports whether the gateway owed an error or a close to the client, which had not left.
func (e Exchange) OwesError() bool { return e.Shape.owesError() && e.LeftAt == 0 }

// Crowd is a number of hostile clients of one kind, which do the same again and again on new connections.
type Crowd struct {
	Shape   Shape
	Ending  Ending
	Clients int
	Pause   time.Duration // longest pause before a client connects again
	From    time.Duration // time at which the clients come, from the start of the run
}

// Target is what a crowd is sent against, and where its records go. Its functions are safe for concurrent use.
type Target struct {
	Address string
	Class   Class
	Now     func() time.Duration // clock of the records
	NextID  func() string        // returns an id that no other request has
	Record  func(Exchange)
}

// client is one client of a crowd.
type client struct {
	*messages
	crowd  Crowd
	target Target
}

// Run plays client number n of the crowd until ctx ends. The seed and the number determine what it sends.
func (c Crowd) Run(ctx context.Context, target Target, seed, n uint64) {
	rng := rand.New(rand.NewPCG(seed, n))
	p := client{&messages{class: target.Class, rng: rng, nextID: target.NextID}, c, target}
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", target.Address, dialTimeout)
		if err != nil {
			ctxtime.Sleep(ctx, redialInterval)
			continue
		}
		if exchange := p.use(ctx, conn); ctx.Err() == nil {
			target.Record(exchange)
		}
		if c.Pause > 0 {
			ctxtime.Sleep(ctx, time.Duration(rng.Int64N(int64(c.Pause))))
		}
	}
}

// use plays one connection, which has ended when use returns.
func (c client) use(ctx context.Context, conn net.Conn) Exchange {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	exchange := Exchange{Shape: c.crowd.Shape, Ending: c.crowd.Ending, ConnectedAt: c.target.Now()}
	conn.SetDeadline(time.Now().Add(longestStay))
	switch c.crowd.Shape {
	case FullSpeed, SameID:
		c.sendRequests(conn, &exchange)
	case Returning:
		c.sendTwice(ctx, conn, &exchange)
	default:
		c.send(ctx, conn, &exchange)
		c.end(ctx, conn, &exchange)
	}
	return exchange
}

// send sends the message of the client's shape.
func (c client) send(ctx context.Context, conn net.Conn, exchange *Exchange) {
	switch c.crowd.Shape {
	case Silent:
	case SlowHead, SlowBody:
		c.sendSlowly(ctx, conn, exchange)
	case ManyFields:
		id := c.nextID()
		c.write(conn, c.request(id, distinctFields(c.rng.IntN(maxFields)), 1), exchange, id)
	case LongRequest:
		id := c.nextID()
		c.write(conn, c.request(id, "", longBodyBytes), exchange, id)
	case Pipeline:
		c.sendPipeline(conn, exchange)
	case Invalid:
		io.WriteString(conn, c.invalid())
	default:
		io.WriteString(conn, c.incomplete(c.crowd.Shape))
	}
}

// write sends requests, and records their ids if all of them were sent.
func (c client) write(conn net.Conn, text string, exchange *Exchange, ids ...string) {
	if _, err := io.WriteString(conn, text); err == nil {
		exchange.IDs = append(exchange.IDs, ids...)
	}
}

// sendSlowly sends a request in pieces. A slow head has only its head in pieces.
func (c client) sendSlowly(ctx context.Context, conn net.Conn, exchange *Exchange) {
	id := c.nextID()
	text := c.request(id, "", 1)
	if c.crowd.Shape == SlowBody {
		text = c.request(id, "", longBodyBytes)
	}
	pieceBytes := len(text)/slowPieces + 1
	for len(text) > 0 {
		piece := text[:min(pieceBytes, len(text))]
		text = text[len(piece):]
		if _, err := io.WriteString(conn, piece); err != nil || !ctxtime.Sleep(ctx, slowPieceGap) {
			return
		}
	}
	exchange.IDs = append(exchange.IDs, id)
}

// sendPipeline sends many short requests in one write.
func (c client) sendPipeline(conn net.Conn, exchange *Exchange) {
	var text strings.Builder
	var ids []string
	for range 2 + c.rng.IntN(maxPipelined) {
		request, id := c.shortRequest()
		text.WriteString(request)
		ids = append(ids, id)
	}
	io.WriteString(conn, text.String())
	exchange.IDs = ids // all of them: an error doesn't tell how many were sent
}

// sendRequests sends short requests one after another, each as soon as the one before has its answer.
func (c client) sendRequests(conn net.Conn, exchange *Exchange) {
	reader := bufio.NewReader(conn)
	id := c.nextID()
	text := c.request(id, "", 1)
	exchange.IDs = []string{id}
	for end := time.Now().Add(maxUseTime); time.Now().Before(end); {
		conn.SetDeadline(time.Now().Add(longestStay))
		io.WriteString(conn, text)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		io.Copy(io.Discard, response.Body)
		if response.Close {
			break
		}
		if c.crowd.Shape == FullSpeed {
			text, id = c.shortRequest()
			exchange.IDs = append(exchange.IDs, id)
		}
	}
	exchange.EndedAt = c.target.Now()
}

// sendTwice sends a request, leaves at once, and sends a request with the same id on a new connection.
func (c client) sendTwice(ctx context.Context, conn net.Conn, exchange *Exchange) {
	id := c.nextID()
	c.write(conn, c.request(id, "", 1), exchange, id)
	ctxtime.Sleep(ctx, time.Duration(c.rng.Int64N(int64(maxLeaveDelay))))
	conn.Close()
	ctxtime.Sleep(ctx, time.Duration(c.rng.Int64N(int64(2*c.class.Timeout))))
	again, err := net.DialTimeout("tcp", c.target.Address, dialTimeout)
	if err != nil {
		return
	}
	defer again.Close()
	defer context.AfterFunc(ctx, func() { again.Close() })()
	again.SetDeadline(time.Now().Add(longestStay))
	io.WriteString(again, c.request(id, "", 1))
	again.Read(make([]byte, 1))
	exchange.EndedAt = c.target.Now()
}

// end ends the connection in the client's way, or waits for its end.
func (c client) end(ctx context.Context, conn net.Conn, exchange *Exchange) {
	switch c.crowd.Ending {
	case Close, Reset:
		ctxtime.Sleep(ctx, time.Duration(c.rng.Int64N(int64(maxLeaveDelay))))
		if c.crowd.Ending == Reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
		exchange.LeftAt = c.target.Now()
		return
	case HalfClose:
		conn.(*net.TCPConn).CloseWrite()
	}
	_, err := conn.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		exchange.EndedAt = c.target.Now()
	}
}
