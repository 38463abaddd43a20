package netstats

import (
	"io"
	"net"
	"testing"
)

// Payload, segments and connections are counted, and the counts include connections that have been closed.
func TestTrafficIsWhatWasSent(t *testing.T) {
	listener, err := ListenLoopback()
	if err != nil {
		t.Fatal(err)
	}
	const conns, in, out = 3, 100_000, 7
	for range conns {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go client.Write(make([]byte, in))
		if _, err := io.ReadFull(server, make([]byte, in)); err != nil {
			t.Fatal(err)
		}
		if _, err := server.Write(make([]byte, out)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(client, make([]byte, out)); err != nil {
			t.Fatal(err)
		}
	}
	check := func() Traffic {
		t.Helper()
		got := listener.Traffic()
		if got.BytesIn != conns*in || got.BytesOut != conns*out || got.Conns != conns {
			t.Errorf("got %+v", got)
		}
		// A segment on loopback holds up to 64 KiB, so each connection needs at least three data
		// segments in addition to its handshake.
		if got.Segments < conns*4 || got.Bytes() != conns*(in+out)+52*got.Segments {
			t.Errorf("%d segments, %d bytes on the wire", got.Segments, got.Bytes())
		}
		return got
	}
	open := check()
	if err := listener.CloseAll(); err != nil {
		t.Fatal(err)
	}
	if closed := check(); closed.Segments < open.Segments {
		t.Errorf("segments fell from %d to %d as connections were closed", open.Segments, closed.Segments)
	}
}
