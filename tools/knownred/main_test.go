package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// failingCommand is a shell command with the output and exit status of a failing TestSlow.
const failingCommand = `printf -- '--- FAIL: TestSlow (0.01s)\n    slow_test.go:9: took 3 s\n'; exit 1`

// listWithCommand returns a list whose only entry is for TestSlow and has the given command.
func listWithCommand(command string) string {
	return "# a comment\ntest: TestSlow\ncommand: : TestSlow; " + command + "\nseen: took 3 s of 1 s\nissue: 7\n"
}

// runSubcommand runs a subcommand of knownred on a list and returns its output.
func runSubcommand(t *testing.T, subcommand, list string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "list.txt")
	if err := os.WriteFile(path, []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	err := run([]string{subcommand, path}, &out)
	return out.String(), err
}

func TestKnownFailureIsPrintedAndPassedOver(t *testing.T) {
	out, err := runSubcommand(t, "check", listWithCommand(failingCommand))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"known failure: TestSlow: took 3 s of 1 s (issue 7)", "slow_test.go:9"} {
		if !strings.Contains(out, want) {
			t.Errorf("printed %q, want %q in it", out, want)
		}
	}
}

func TestListedTestHasToFailItself(t *testing.T) {
	for _, c := range []struct {
		name    string
		command string
		want    error
	}{
		{"passes", "true", errPasses},
		{"does not build", "echo build failed; exit 2", errOtherFailure},
		{"another test fails", "echo '--- FAIL: TestSlower (0.01s)'; exit 1", errOtherFailure},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := runSubcommand(t, "check", listWithCommand(c.command)); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestPatternNamesTheListedTests(t *testing.T) {
	second := strings.ReplaceAll(listWithCommand(failingCommand), "TestSlow", "TestFast")
	for _, c := range []struct{ list, want string }{
		{"", ""},
		{listWithCommand(failingCommand), "^(TestSlow)$\n"},
		{listWithCommand(failingCommand) + "\n" + second, "^(TestSlow|TestFast)$\n"},
	} {
		if out, err := runSubcommand(t, "pattern", c.list); err != nil || out != c.want {
			t.Errorf("got %q, %v, want %q", out, err, c.want)
		}
	}
}

func TestMalformedListIsRefused(t *testing.T) {
	valid := listWithCommand(failingCommand)
	for name, list := range map[string]string{
		"no test":            strings.Replace(valid, "test: TestSlow\n", "", 1),
		"no name of a test":  strings.Replace(valid, "test: TestSlow", "test: Slow", 1),
		"no command":         strings.Replace(valid, "command: : TestSlow; "+failingCommand+"\n", "", 1),
		"command of another": "test: TestSlow\ncommand: go test -run TestFast .\nseen: took 3 s of 1 s\nissue: 7\n",
		"not seen":           strings.Replace(valid, "seen: took 3 s of 1 s\n", "", 1),
		"no issue":           strings.Replace(valid, "issue: 7", "issue: soon", 1),
		"key twice":          valid + "issue: 8\n",
		"unknown key":        valid + "cause: none\n",
		"one line":           "./policy TestSlow: took 3 s, issue 7\n",
		"four entries":       strings.Repeat(valid+"\n", maxEntries+1),
	} {
		t.Run(name, func(t *testing.T) {
			if out, err := runSubcommand(t, "check", list); err == nil {
				t.Errorf("no error, printed %q", out)
			}
		})
	}
}
