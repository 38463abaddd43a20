package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// testSettings are those of the instances in this file's batches.
const testSettings = `{"classes": [{"objectiveS": 1, "deadlineS": 2, "points": 1}], "packages": [{"pays": 1}], "fleetSize": 1,
	"tickS": 0.002, "allowed": {"mostTries": 2}}`

// encodeBatch returns the frame of a batch with the given records, at clock time 5.
func encodeBatch(seq uint32, records ...[]byte) []byte {
	var body []byte
	for _, record := range records {
		body = append(body, record...)
	}
	var header recordWriter
	header.f64(5)
	header.u32(uint32(len(body) + countedHeaderSize))
	header.u32(uint32(len(records)))
	header.u32(seq)
	return append(header.data, body...)
}

// instanceRecord names the instance that the next records are for.
func instanceRecord(number byte) []byte { return []byte{eventInstanceEvents, 0, 0, 0, number} }

// startRecord starts an instance with the seed 0.
func startRecord() []byte {
	var w recordWriter
	w.begin(eventStartInstance)
	w.u64(0)
	w.u32(uint32(len(testSettings)))
	return append(w.data, testSettings...)
}

// stopRecord stops an instance.
func stopRecord() []byte { return []byte{eventStopInstance} }

// An instance that restarts within a batch acts for its new incarnation alone, and has no part in the next
// reply.
func TestRestartWithinBatch(t *testing.T) {
	batches := encodeBatch(1, instanceRecord(2), startRecord(), stopRecord(), startRecord())
	batches = append(batches, encodeBatch(2)...)
	got, err := replay(batches)
	if err != nil {
		t.Fatal(err)
	}
	if n := binary.BigEndian.Uint32(got[4:]); n != 2 { // the instance and one timer, from the new incarnation only
		t.Errorf("%d records in the first reply, want 2", n)
	}
	if second := got[4+binary.BigEndian.Uint32(got):]; !bytes.Equal(second, []byte{0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 2}) {
		t.Errorf("second reply %x", second)
	}
}

// A request of a plan that the settings don't have, and an event for an instance that has not started, are
// errors.
func TestUnknownPlanOrInstanceIsAnError(t *testing.T) {
	request := append([]byte{eventRequest}, make([]byte, 37)...)
	request[10] = 9 // the plan
	for name, c := range map[string]struct {
		batch []byte
		want  error
	}{
		"plan":     {encodeBatch(1, instanceRecord(2), startRecord(), request), unknownClassOrPlanError(0)},
		"instance": {encodeBatch(1, instanceRecord(2), stopRecord()), notStartedError(2)},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := replay(c.batch); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// asCommandKey is the environment variable that makes the test binary run as the command.
const asCommandKey = "SIMADAPTER_TEST_AS_COMMAND"

// TestMain lets the test binary run as the command.
func TestMain(m *testing.M) {
	if os.Getenv(asCommandKey) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Malformed input ends the command with one line on standard error.
func TestMalformedInputEndsTheCommand(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asCommandKey+"=1")
	cmd.Stdin = strings.NewReader("this is no frame, but it is long enough")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Run(); err == nil {
		t.Error("exit 0")
	}
	if text := stderr.String(); strings.Count(text, "\n") != 1 || strings.Contains(text, "goroutine") {
		t.Errorf("want one plain line on stderr, got %q", text)
	}
}
