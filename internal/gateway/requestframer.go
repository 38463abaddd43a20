package gateway

// maxReadHeadBytes is the largest number of bytes of a head that net/http reads. It exceeds maxHeaderBytes by a buffer.
const maxReadHeadBytes = maxHeaderBytes + 4<<10

// maxRequestHeadMemory is the memory of the largest head that is read.
const maxRequestHeadMemory = maxReadHeadBytes*parsedBytesPerByte + maxHeadFields*parsedBytesPerField

// requestFramer tells which bytes of a connection belong to the current request. The HTTP server gets no byte of a request
// before the previous one has been answered, so each head passes the limits on heads. The zero value is at the beginning
// of a request.
type requestFramer struct {
	head     headScanner
	headEnds bool  // the head is complete
	bodyLeft int64 // bytes of the body that have not been read
}

// advance returns the number of bytes of p that belong to the current part of the request, its head or its body. After a
// request whose end can't be told (see isUnframed), all bytes belong to the request.
func (f *requestFramer) advance(p []byte) (n int) {
	switch {
	case !f.headEnds:
		n, f.headEnds = f.head.scan(p)
		f.bodyLeft = f.head.contentLength
		return n
	case f.isUnframed():
		return len(p)
	}
	n = int(min(int64(len(p)), f.bodyLeft))
	f.bodyLeft -= int64(n)
	return n
}

// isUnframed reports whether the end of the request can't be told from its head. The connection has to be closed after
// the answer.
func (f *requestFramer) isUnframed() bool { return f.headEnds && f.head.unframed }

// isComplete reports whether the last byte of the request has been read.
func (f *requestFramer) isComplete() bool { return f.headEnds && !f.head.unframed && f.bodyLeft == 0 }

// reset begins the next request.
func (f *requestFramer) reset() { *f = requestFramer{} }
