package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// maxEntries is the largest number of known failures with which a change may be merged.
const maxEntries = 3

// entry is one test that is known to fail because of a fault that has not been fixed yet.
type entry struct {
	test    string // name of the top-level test function
	command string // shell command that runs the test, with its seed if it has one, and prints the failure
	seen    string // description of the observed failure
	issue   int    // number of the open issue about the fault
}

var testNamePattern = regexp.MustCompile(`^Test[A-Za-z0-9_]*$`)

// readList reads the entries of a list, which are separated by blank lines. An entry has "key: value" lines with the
// keys test, command, seen and issue, each exactly once. Lines that begin with # are comments.
func readList(r io.Reader) ([]entry, error) {
	var entries []entry
	fields := map[string]string{}
	finishEntry := func() error {
		if len(fields) == 0 {
			return nil
		}
		e, err := newEntry(fields)
		if err != nil {
			return fmt.Errorf("entry %d: %w", len(entries)+1, err)
		}
		entries = append(entries, e)
		fields = map[string]string{}
		return nil
	}
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		switch {
		case strings.HasPrefix(line, "#"):
		case line == "":
			if err := finishEntry(); err != nil {
				return nil, err
			}
		default:
			if err := addField(fields, line); err != nil {
				return nil, fmt.Errorf("line %d: %w", number, err)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if err := finishEntry(); err != nil {
		return nil, err
	}
	if len(entries) > maxEntries {
		return nil, fmt.Errorf("%d entries, at most %d are allowed", len(entries), maxEntries)
	}
	return entries, nil
}

// addField parses a "key: value" line of an entry and adds the field to fields.
func addField(fields map[string]string, line string) error {
	key, value, found := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch key {
	case "test", "command", "seen", "issue":
	default:
		return fmt.Errorf("unknown key %q", key)
	}
	if !found || value == "" {
		return fmt.Errorf("%s has no value", key)
	}
	if fields[key] != "" {
		return fmt.Errorf("the entry has the key %s twice", key)
	}
	fields[key] = value
	return nil
}

// newEntry validates the fields of an entry and returns the entry.
func newEntry(fields map[string]string) (entry, error) {
	e := entry{test: fields["test"], command: fields["command"], seen: fields["seen"]}
	if !testNamePattern.MatchString(e.test) {
		return entry{}, fmt.Errorf("test: %q is not the name of a top-level test", e.test)
	}
	if !strings.Contains(e.command, e.test) {
		return entry{}, fmt.Errorf("%s: the command does not contain the name of the test", e.test)
	}
	if e.seen == "" {
		return entry{}, fmt.Errorf("%s: the key seen is missing", e.test)
	}
	issue, err := strconv.Atoi(fields["issue"])
	if err != nil || issue < 1 {
		return entry{}, fmt.Errorf("%s: issue: %q is not an issue number", e.test, fields["issue"])
	}
	e.issue = issue
	return e, nil
}
