// Knownred handles the tests that are known to fail. KNOWN-RED.txt lists them; their failures don't block a change.
//
//	knownred pattern FILE   prints a pattern for go test -skip that matches the listed tests; nothing for an empty list
//	knownred check FILE     runs the command of each listed test
//
// The subcommand check prints each known failure. It exits with status 1 if a command fails without a failure of its
// test or if the list can't be read. It also exits with status 1 if a listed test passes, since the entry of the test
// must then be removed.
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

// commandTimeout is the longest time that the command of a listed test may run.
const commandTimeout = 10 * time.Minute

var (
	errUsage        = errors.New("usage: knownred pattern|check FILE")
	errPasses       = errors.New("passes; remove it from the list")
	errOtherFailure = errors.New("did not fail, but its command did")
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run executes the subcommand in args and writes its output to out.
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

// skipPattern returns a pattern for go test -skip that matches the listed tests, or "" if the list is empty.
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

// check checks all entries. It returns the joined errors of the entries whose tests did not fail.
func check(entries []entry, out io.Writer) error {
	var problems []error
	for _, e := range entries {
		if err := e.check(out); err != nil {
			problems = append(problems, fmt.Errorf("%s %w", e.test, err))
		}
	}
	return errors.Join(problems...)
}

// check runs the command of an entry. If the listed test fails, it prints the known failure; otherwise it returns an
// error.
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
