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

// TestSeededStreams sends streams of batches to the adapter. Each stream is drawn from a seed. The files whose names
// begin with sim generate the streams. They act as a small simulator: they send a batch, read the reply and apply the
// actions of the reply, whose effects are part of later batches. Batches and replies are recorded as frames, so that
// streams recorded with one version of the adapter can be replayed with another version.

var (
	recordDir = flag.String("record", "", "directory in which to write SEED.batches and SEED.replies")
	seedCount = flag.Int("seeds", 6, "number of seeded streams to run")
)

// TestSeededStreams checks every reply to long streams against the rules for attempts and answers. It also checks
// that the same batches give the same replies, and that the streams lead to each kind of action.
func TestSeededStreams(t *testing.T) {
	actionCounts := map[uint8]int{}
	for seed := range uint64(*seedCount) {
		s := runSimulation(t, seed, actionCounts)
		if t.Failed() {
			return
		}
		replayed, err := replay(s.batches.Bytes())
		if err != nil || !bytes.Equal(replayed, s.replies.Bytes()) {
			t.Fatalf("seed %d: the same batches gave different replies, or the replay failed: %v", seed, err)
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
		actionCounterAdd:    "counter call",
		actionCancelAttempt: "cancellation",
		actionPollEndpoints: "poll of discovery",
	} {
		if actionCounts[code] == 0 {
			t.Errorf("no stream led to a %s", name)
		}
	}
	t.Logf("actions by code: %v", actionCounts)
}

// runSimulation generates the stream of a seed and sends the stream to a new adapter.
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

// replay sends recorded batches to a new adapter and returns its replies.
func replay(batches []byte) ([]byte, error) {
	var replies bytes.Buffer
	err := serve(bytes.NewReader(batches), &replies)
	return replies.Bytes(), err
}

// record writes the batches and replies of a stream to files, for comparison between versions.
func record(t *testing.T, dir string, s *simulation) {
	t.Helper()
	for name, data := range map[string][]byte{"batches": s.batches.Bytes(), "replies": s.replies.Bytes()} {
		path := filepath.Join(dir, fmt.Sprintf("%d.%s", s.seed, name))
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
