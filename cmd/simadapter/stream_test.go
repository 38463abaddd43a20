package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// The test in this file drives the adapter with event streams drawn from a seed. The generator, in the sim
// files, is a small simulator: it sends a batch, reads the reply and lets the actions have their effects in
// later batches. Batches and replies are plain bytes of the wire, so streams recorded with one version can
// be replayed into another.

var (
	recordDir = flag.String("record", "", "directory for SEED.batches and SEED.replies")
	seedCount = flag.Int("seeds", 6, "how many seeded streams to run")
)

// TestSeededStreams checks the rules that bind every reply, on streams that lead deep into the states of
// the gateways, and that the same batches give the same replies.
func TestSeededStreams(t *testing.T) {
	actionCounts := map[uint8]int{}
	for seed := range uint64(*seedCount) {
		s := runSimulation(t, seed, actionCounts)
		if t.Failed() {
			return
		}
		replayed, err := replay(s.batches.Bytes())
		if err != nil || !bytes.Equal(replayed, s.replies.Bytes()) {
			t.Fatalf("seed %d: the same batches gave other replies (%v)", seed, err)
		}
		if *recordDir != "" {
			record(t, *recordDir, s)
		}
		t.Logf("seed %d: %d batches, %d requests, %.0f s", seed, s.batchSeq, len(s.requests), s.endsAt)
	}
	for code, name := range map[uint8]string{
		actionSendAttempt:   "attempt",
		actionReject:        "rejection",
		actionFailRequest:   "failure",
		actionSetTimer:      "timer",
		actionCounterAdd:    "call to the counter",
		actionCancelAttempt: "cancellation",
		actionPollEndpoints: "poll of discovery",
	} {
		if actionCounts[code] == 0 {
			t.Errorf("no stream led to a %s", name)
		}
	}
	t.Logf("actions by code: %v", actionCounts)
}

// runSimulation generates the stream of a seed against a fresh adapter.
func runSimulation(t *testing.T, seed uint64, actionCounts map[uint8]int) *simulation {
	t.Helper()
	batchReader, batchWriter := io.Pipe()
	replyReader, replyWriter := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := serve(batchReader, replyWriter)
		batchReader.CloseWithError(io.ErrClosedPipe)
		replyWriter.CloseWithError(err)
		ended <- err
	}()
	s := newSimulation(t, seed, actionCounts, batchWriter, replyReader)
	if err := s.run(); err != nil {
		t.Errorf("seed %d: %v", seed, err)
	}
	batchWriter.Close()
	if err := <-ended; err != nil {
		t.Errorf("seed %d: the adapter ended with %v", seed, err)
	}
	return s
}

// replay gives recorded batches to a fresh adapter and returns its replies.
func replay(batches []byte) ([]byte, error) {
	var replies bytes.Buffer
	err := serve(bytes.NewReader(batches), &replies)
	return replies.Bytes(), err
}

// record keeps a stream for comparisons between versions.
func record(t *testing.T, dir string, s *simulation) {
	t.Helper()
	for name, data := range map[string][]byte{"batches": s.batches.Bytes(), "replies": s.replies.Bytes()} {
		path := filepath.Join(dir, fmt.Sprintf("%d.%s", s.seed, name))
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
