package netstats

// segmentHeaderBytes is the size of a segment's headers: 20 bytes for IPv4, 20 for TCP
// and 12 for the TCP timestamps option.
const segmentHeaderBytes = 52

// Traffic counts the traffic over the connections of a listener, in both directions.
type Traffic struct {
	BytesIn  uint64 // payload that the listener's process read
	BytesOut uint64 // payload that the listener's process wrote
	Segments uint64 // TCP segments as counted by TCP_INFO, including pure acknowledgements
	Conns    uint64 // connections accepted
}

// Bytes returns the bytes on the wire, including headers. Segments that are sent or received
// after the close of a connection (the FIN and its acknowledgement) are not counted.
func (t Traffic) Bytes() uint64 { return t.BytesIn + t.BytesOut + segmentHeaderBytes*t.Segments }

// Plus returns the sum of t and other.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{
		BytesIn:  t.BytesIn + other.BytesIn,
		BytesOut: t.BytesOut + other.BytesOut,
		Segments: t.Segments + other.Segments,
		Conns:    t.Conns + other.Conns,
	}
}
