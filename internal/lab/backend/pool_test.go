package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestBackendsAreToldApart(t *testing.T) {
	o := New(Options{ServiceTime: time.Millisecond, Listeners: 2})
	if err := o.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	list := o.Instances(300, []string{"a", "b"}, []string{"m1", "m2"})
	addresses := make(map[string]bool)
	kinds := make(map[string]int)
	for _, i := range list {
		addresses[i.HostPort] = true
		kinds[i.Zone+i.MachineType]++
	}
	if len(addresses) != 300 || kinds["am1"] != 75 || kinds["bm2"] != 75 || list[299].ID != "b-00300" {
		t.Fatalf("%d addresses, %v", len(addresses), kinds)
	}

	// Three connections at the last backend, one at each of two others; all but one ask.
	var conns []net.Conn
	for n, i := range []int{299, 299, 299, 0, 1} {
		nc, err := net.Dial("tcp", list[i].HostPort)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(time.Minute))
		conns = append(conns, nc)
		if n == 4 {
			continue
		}
		r := bufio.NewReader(nc)
		for _, text := range []string{"POST /checkout HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /", "GET /search HTTP/1.1\r\nHost: x\r\n\r\n",
			"GET /health/live HTTP/1.1\r\n\r\n"} {
			fmt.Fprint(nc, text)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || len(body) == 0 {
				t.Fatalf("%s: %q, %v", resp.Status, body, err)
			}
		}
	}
	eventually := func(what string, done func(Stats) bool) {
		t.Helper()
		for over := time.Now().Add(30 * time.Second); !done(o.Stats()); time.Sleep(time.Millisecond) {
			if time.Now().After(over) {
				t.Fatalf("%s: %+v", what, o.Stats())
			}
		}
	}
	eventually("all open", func(s Stats) bool { return s.OpenConns == 5 })
	s := o.Stats()
	if s.Requests != 8 || s.Probes != 4 || s.Handshakes != 5 || s.PeakConns != 5 || s.PeakConnsPerBackend != 3 || s.BackendsReached != 2 || s.Traffic.Conns != 5 {
		t.Errorf("%+v", s)
	}
	for _, nc := range conns {
		nc.Close()
	}
	eventually("all closed", func(s Stats) bool { return s.OpenConns == 0 && s.PeakConns == 5 })
}
