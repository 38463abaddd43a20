package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amberlb/internal/lab/gatewayprocess"
	"amberlb/internal/lab/soak"
)

// The limits of a gateway, and the clients that send it many bytes.
const (
	memoryLimitMB   = 48
	descriptorLimit = 1024
	floodClients    = 500
	floodTime       = 4 * time.Second
	floodTimeout    = 8 * time.Second // timeout that the flooding clients state
	maxBodyBytes    = 64 << 10
	shortRequestGap = 10 * time.Millisecond // pause between two requests of the other client
)

// floodRequest returns the text of request n, with a body.
func floodRequest(n int64, bodyBytes int) string {
	return fmt.Sprintf("POST /%[1]s HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: flood-%[2]d\r\nX-Service-Class: %[1]s\r\n"+
		"X-Tier: standard\r\nX-Api-Key: %016[2]x\r\nX-Time-Left-Ms: %[3]d\r\nX-Call-Terms: units=1,spread=1,first=0\r\n"+
		"Content-Length: %[4]d\r\n\r\n%[5]s",
		soak.NonIdempotent, n, floodTimeout.Milliseconds(), bodyBytes, strings.Repeat("x", bodyBytes))
}

// Clients can't make a gateway use more memory than its limit, at which the platform would kill it: neither by requests
// that stay incomplete, as in the incident behind this test, nor by complete requests that wait for their answers. Short
// requests of another client are served meanwhile.
func TestClientsCannotExceedMemoryLimit(t *testing.T) {
	program := buildCommand(t)
	for _, c := range []struct {
		name    string
		hang    bool // the backends never respond
		message func(n int64) string
	}{
		{"incomplete bodies", false, func(n int64) string {
			text := floodRequest(n, maxBodyBytes)
			return text[:len(text)-1]
		}},
		{"complete requests", true, func(n int64) string { return floodRequest(n, maxBodyBytes) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFlood(t, program, soak.Behavior{Hang: c.hang})
			f.run(c.message)
			served := f.sendRequests(t)
			f.clients.Wait()
			peak := f.stopWatch()
			if _, err := f.process.Usage(); err != nil {
				t.Errorf("the gateway has ended: %v", err)
			}
			t.Logf("%d of %d KiB of memory were used; %d flooding connections, %d other requests served", peak>>10,
				memoryLimitMB<<10, f.connections.Load(), served)
			if peak > memoryLimitMB<<20 {
				t.Errorf("the gateway used %d KiB of memory, with a limit of %d MiB; its log: %s", peak>>10, memoryLimitMB,
					f.process.Log())
			}
			if f.connections.Load() < floodClients {
				t.Errorf("only %d flooding connections", f.connections.Load())
			}
			if !c.hang && served == 0 {
				t.Error("no request of another client was served")
			}
		})
	}
}

// flood is a gateway with a memory limit, and the clients that send it many bytes.
type flood struct {
	process     *gatewayprocess.Gateway
	address     string
	end         time.Time // the clients open no further connections then
	clients     sync.WaitGroup
	connections atomic.Int64        // number of flooding connections
	stopWatch   func() (peak int64) // stops the watch of the memory, and returns the peak in bytes
}

// startFlood starts a gateway, and waits until it is ready.
func startFlood(t *testing.T, program gatewayprocess.Program, behavior soak.Behavior) *flood {
	t.Helper()
	classes := []soak.Class{{Name: string(soak.NonIdempotent), Idempotency: soak.NonIdempotent, Deadline: floodTimeout}}
	_, discovery := startBackends(t, soak.NewClock(), behavior)
	options := gatewayOptions(t, classes, discovery)
	options.MemoryMB = memoryLimitMB
	options.DescriptorLimit = descriptorLimit
	process, err := gatewayprocess.Start(t.Context(), program, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Close() })
	if _, err := process.WaitReady(t.Context(), testTimeout); err != nil {
		t.Fatal(err)
	}
	f := &flood{process: process, address: options.Listen, end: time.Now().Add(floodTime)}
	f.stopWatch = process.WatchMemory()
	return f
}

// run starts the flooding clients. Each sends a message on a connection, waits for an answer or a close, and does the
// same again on a new connection.
func (f *flood) run(message func(n int64) string) {
	for range floodClients {
		f.clients.Go(func() {
			for time.Now().Before(f.end) {
				f.floodOnce(message(f.connections.Add(1)))
			}
		})
	}
}

// floodOnce sends a message on a new connection, and waits until it gets a byte of an answer or the connection ends.
func (f *flood) floodOnce(message string) {
	conn, err := net.DialTimeout("tcp", f.address, floodTime)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(f.end)
	io.WriteString(conn, message)
	conn.Read(make([]byte, 1))
}

// sendRequests sends short requests, one after the other and each on a new connection, until the flood ends. It returns
// the number of served requests.
func (f *flood) sendRequests(t *testing.T) (served int) {
	t.Helper()
	for n := 0; time.Now().Before(f.end); n++ {
		conn, err := soak.Dial(soak.NewClock(), f.address, 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		attempt, _ := conn.Do(soak.Request{ID: fmt.Sprintf("short-%d", n), Class: string(soak.NonIdempotent), Method: "POST",
			BodyBytes: 12, Timeout: floodTime / 4})
		conn.Close()
		if attempt.Status == http.StatusOK {
			served++
		}
		time.Sleep(shortRequestGap)
	}
	return served
}
