package netstats

// segmentHeaderBytes is the size of a segment without its payload: IPv4 20, TCP 20,
// timestamps 12.
const segmentHeaderBytes = 52

// Traffic is what passed over the connections of a listener in both directions.
type Traffic struct {
	BytesIn  uint64 // payload that the listener's side read
	BytesOut uint64 // payload that the listener's side wrote
	Segments uint64 // TCP segments by TCP_INFO, pure acknowledgements among them
	Conns    uint64 // connections accepted
}

// Bytes returns the bytes on the wire, headers included. What follows a
// connection's close (its FIN and the acknowledgement) is not counted.
func (t Traffic) Bytes() uint64 { return t.BytesIn + t.BytesOut + segmentHeaderBytes*t.Segments }

// Plus is the sum of both.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{
		BytesIn:  t.BytesIn + other.BytesIn,
		BytesOut: t.BytesOut + other.BytesOut,
		Segments: t.Segments + other.Segments,
		Conns:    t.Conns + other.Conns,
	}
}
