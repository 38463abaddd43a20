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

// settings is the JSON text of the settings of the instances that startRecord starts.
const settings = `{"classes": [{"objectiveS": 1, "deadlineS": 2, "points": 1}], "packages": [{"pays": 1}], "fleetSize": 1,
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

// instanceRecord returns the record that names the instance for which the next records are.
func instanceRecord(number byte) []byte { return []byte{eventInstanceEvents, 0, 0, 0, number} }

// startRecord returns the record that starts an instance with the seed 0 and the settings in the constant "settings".
func startRecord() []byte {
	var w recordWriter
	w.begin(eventStartInstance)
	w.u64(0)
	w.u32(uint32(len(settings)))
	return append(w.data, settings...)
}

// stopRecord returns the record that stops an instance.
func stopRecord() []byte { return []byte{eventStopInstance} }

// If an instance restarts within a batch, the reply has the actions of the new incarnation only. The next reply
// must not repeat them.
func TestRestartWithinBatch(t *testing.T) {
	batches := encodeBatch(1, instanceRecord(2), startRecord(), stopRecord(), startRecord())
	batches = append(batches, encodeBatch(2)...)
	got, err := replay(batches)
	if err != nil {
		t.Fatal(err)
	}
	if n := binary.BigEndian.Uint32(got[4:]); n != 2 { // the instance's number and one timer of the new incarnation
		t.Errorf("%d records in the first reply, want 2", n)
	}
	if second := got[4+binary.BigEndian.Uint32(got):]; !bytes.Equal(second, []byte{0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 2}) {
		t.Errorf("second reply %x", second)
	}
}

// A request whose plan is not in the settings, and a record for an instance that was never started, are errors.
func TestUnknownPlanOrInstanceIsAnError(t *testing.T) {
	request := append([]byte{eventRequest}, make([]byte, 37)...)
	request[10] = 9 // low byte of the plan's index
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

// asCommandKey is the name of the environment variable that makes the test binary run as the command.
const asCommandKey = "SIMADAPTER_TEST_AS_COMMAND"

// TestMain runs the command instead of the tests if the environment variable asCommandKey is set.
func TestMain(m *testing.M) {
	if os.Getenv(asCommandKey) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Malformed input ends the command with a failure status and one line on standard error, not with a stack trace.
func TestMalformedInputEndsTheCommand(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asCommandKey+"=1")
	cmd.Stdin = strings.NewReader("this is no frame, but it is long enough")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Run(); err == nil {
		t.Error("the command exited with status 0")
	}
	if text := stderr.String(); strings.Count(text, "\n") != 1 || strings.Contains(text, "goroutine") {
		t.Errorf("want one line without a stack trace on standard error, got %q", text)
	}
}
