// Command knownred runs the tests that KNOWN-RED.txt lists and passes over their failures.
//
//	knownred pattern FILE   prints a pattern of the listed tests for go test -skip; nothing for an empty list
//	knownred check FILE     runs each listed test by its command
//
// check prints each known failure. Its exit status is 1 if a listed test passes, for then its entry has to go, if a
// command ends without the failure of its own test, and if the list can't be read.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"time"
)

// commandTimeout bounds the run of one listed test.
const commandTimeout = 10 * time.Minute

var (
	errUsage        = errors.New("usage: knownred pattern|check FILE")
	errPasses       = errors.New("passes; take it off the list")
	errOtherFailure = errors.New("ended without its own failure")
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run carries out the command line.
func run(args []string, out io.Writer) error {
	if len(args) != 2 {
		return errUsage
	}
	subcommand, path := args[0], args[1]
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	entries, err := readList(file)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	switch subcommand {
	case "pattern":
		_, err := io.WriteString(out, skipPattern(entries))
		return err
	case "check":
		return check(entries, out)
	}
	return errUsage
}

// skipPattern returns a pattern that matches the listed tests, or "" if there are none.
func skipPattern(entries []entry) string {
	if len(entries) == 0 {
		return ""
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.test
	}
	return "^(" + strings.Join(names, "|") + ")$\n"
}

// check runs all listed tests and returns what is wrong with the list.
func check(entries []entry, out io.Writer) error {
	var problems []error
	for _, e := range entries {
		if err := e.check(out); err != nil {
			problems = append(problems, fmt.Errorf("%s %w", e.test, err))
		}
	}
	return errors.Join(problems...)
}

// check runs the command of one entry and prints the known failure.
func (e entry) check(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, "/bin/sh", "-c", e.command).CombinedOutput()
	if err == nil {
		return errPasses
	}
	if !strings.Contains(string(output), "--- FAIL: "+e.test+" ") {
		return fmt.Errorf("%w: %w\n%s", errOtherFailure, err, output)
	}
	_, err = fmt.Fprintf(out, "known failure: %s: %s (issue %d)\n%s", e.test, e.seen, e.issue, output)
	return err
}
