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

// The test in this file drives the adapter with event streams drawn from a seed. The generator is a small
// simulator: it sends a batch, reads the reply and lets the actions have their effects in later batches. Batches
// and replies are plain bytes of the wire, so streams recorded with one version can be replayed into another.

var (
	recordDir = flag.String("record", "", "directory for SEED.batches and SEED.replies")
	seedCount = flag.Int("seeds", 6, "how many seeded streams to run")
)

// replay gives recorded batches to a fresh adapter.
func replay(batches []byte) ([]byte, error) {
	var replies bytes.Buffer
	err := serve(bytes.NewReader(batches), &replies)
	return replies.Bytes(), err
}

// drive generates the stream of a seed against an adapter.
func drive(t *testing.T, seed uint64, seen map[uint8]int) *simulation {
	batchOut, batchIn := io.Pipe()
	replyOut, replyIn := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := serve(batchOut, replyIn)
		batchOut.CloseWithError(io.ErrClosedPipe)
		replyIn.CloseWithError(err)
		ended <- err
	}()
	s := newSimulation(t, seed, seen, batchIn, replyOut)
	if err := s.run(); err != nil {
		t.Errorf("seed %d: %v", seed, err)
	}
	batchIn.Close()
	if err := <-ended; err != nil {
		t.Errorf("seed %d: the adapter ended with %v", seed, err)
	}
	return s
}

// record keeps a stream for comparisons between versions.
func record(t *testing.T, dir string, s *simulation) {
	for name, data := range map[string][]byte{"batches": s.batches.Bytes(), "replies": s.replies.Bytes()} {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d.%s", s.seed, name)), data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSeededStreams checks the rules that bind every reply, on streams that lead deep into the states of the
// gateways, and that the same batches give the same replies.
func TestSeededStreams(t *testing.T) {
	seen := map[uint8]int{}
	for seed := range uint64(*seedCount) {
		s := drive(t, seed, seen)
		if t.Failed() {
			return
		}
		if again, err := replay(s.batches.Bytes()); err != nil || !bytes.Equal(again, s.replies.Bytes()) {
			t.Fatalf("seed %d: the same batches gave other replies (%v)", seed, err)
		}
		if *recordDir != "" {
			record(t, *recordDir, s)
		}
		t.Logf("seed %d: %d batches, %d requests, %.0f s", seed, s.batchSeq, len(s.requests), s.until)
	}
	for code, name := range map[uint8]string{actionSendAttempt: "PassOn", actionReject: "Decline", actionFailRequest: "Abort",
		actionSetTimer: "Sleep", actionCounterAdd: "Count", actionCancelAttempt: "DropAttempt", actionPollEndpoints: "StreamChanges"} {
		if seen[code] == 0 {
			t.Errorf("no stream led to a %s", name)
		}
	}
	t.Logf("actions by code: %v", seen)
}
