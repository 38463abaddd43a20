package hostile

// Shape is what a hostile client sends on a connection.
type Shape string

// The shapes.
const (
	Silent         Shape = "silent"          // nothing
	DistinctFields Shape = "distinct fields" // a head without end, of short fields with different names
	RepeatedFields Shape = "repeated fields" // a head without end, of short fields with the same name
	LongField      Shape = "long field"      // a head without end, with a single long field
	SlowHead       Shape = "slow head"       // a head of usual size, a few bytes at a time
	IncompleteBody Shape = "incomplete body" // a long request without its last byte
	SlowBody       Shape = "slow body"       // a long request, a piece at a time
	ManyFields     Shape = "many fields"     // a complete request whose head has many short fields
	LongRequest    Shape = "long request"    // a complete long request
	Pipeline       Shape = "pipeline"        // many short requests in one write
	FullSpeed      Shape = "full speed"      // short requests one after another, each of a new customer
	SameID         Shape = "same id"         // short requests one after another, all with the id of the first
	Invalid        Shape = "invalid"         // requests that can't be decoded, one after another
	Junk           Shape = "junk"            // random bytes
	Returning      Shape = "returning"       // a request whose client leaves, and comes again with the same id
)

// Shapes lists all shapes.
var Shapes = []Shape{Silent, DistinctFields, RepeatedFields, LongField, SlowHead, IncompleteBody, SlowBody, ManyFields,
	LongRequest, Pipeline, FullSpeed, Invalid, Junk, Returning, SameID}

// owesError reports whether a client of the shape must get an error or a close within badClientLimit of its first byte:
// what it sends never becomes a request that can be served.
func (s Shape) owesError() bool {
	switch s {
	case DistinctFields, RepeatedFields, LongField, IncompleteBody, Junk:
		return true
	}
	return false
}

// Ending is what a hostile client does after it has sent its last byte.
type Ending string

// The endings.
const (
	Stay      Ending = "stay"       // wait for an answer or the connection's end
	Close     Ending = "close"      // close the connection
	Reset     Ending = "reset"      // reset the connection
	HalfClose Ending = "half-close" // close the sending side, and wait for an answer or the connection's end
)

// Endings lists all endings.
var Endings = []Ending{Stay, Close, Reset, HalfClose}
