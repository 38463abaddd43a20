// Fleetlab measures gateways against stand-ins of all services that a gateway talks to (see
// package experiment), and tests gateways under random faults (see package soak).
//
// The exit status is 2 if a file or an argument is invalid. It is 1 after any other error, and
// also if a run was not completed, a bound of the experiment was broken, or the soak found a
// violation. Otherwise, it is 0.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit statuses of the command.
const (
	exitOK     = 0
	exitFailed = 1 // a bound was broken, the soak found a violation, or a run was not completed
	exitUsage  = 2 // a file or an argument is invalid
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run parses the arguments, runs the selected command and returns the exit status. It
// writes an error to stderr as one line.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var parsed arguments
	const helpNotShown = -1
	helpStatus := helpNotShown
	parser, err := kong.New(&parsed,
		kong.Name("fleetlab"),
		kong.Writers(stdout, stderr),
		kong.Exit(func(status int) { helpStatus = status }),
		kong.Description("Measures gateways against stand-ins of the services that they talk to."))
	if err != nil {
		panic(err) // happens only if the struct tags of arguments are invalid
	}
	command, err := parser.Parse(args)
	if helpStatus != helpNotShown {
		return helpStatus
	}
	if err != nil {
		printError(stderr, err)
		return exitUsage
	}
	status, err := runCommand(ctx, command.Command(), &parsed, stdin, stdout, stderr)
	if err != nil {
		printError(stderr, err)
		return errorStatus(err)
	}
	return status
}

// runCommand runs the command that the parser selected.
func runCommand(
	ctx context.Context, command string, parsed *arguments, stdin io.Reader, stdout, stderr io.Writer,
) (status int, err error) {
	switch command {
	case "hollow":
		return exitOK, runHollow(ctx, stdin, stdout)
	case "soak":
		return runSoak(ctx, parsed.Soak, stdout, stderr)
	case "sweep <file>":
		return runExperiment(ctx, parsed.Sweep.experimentArguments, parsed.Sweep.Over, stdout, stderr)
	default:
		return runExperiment(ctx, parsed.Run.experimentArguments, "", stdout, stderr)
	}
}

// usageError marks an error that is caused by an invalid file or argument.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

// errorStatus returns the exit status for a non-nil error.
func errorStatus(err error) int {
	if invalid := (usageError{}); errors.As(err, &invalid) {
		return exitUsage
	}
	return exitFailed
}

// printError writes an error as one line. Line breaks in its text are replaced by blanks.
func printError(stderr io.Writer, err error) {
	fmt.Fprintln(stderr, "fleetlab:", strings.Join(strings.Fields(err.Error()), " "))
}
