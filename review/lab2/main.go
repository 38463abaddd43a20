// Lab2 runs the cases 6 to 10 of the review. It starts gateways as the deploy file says, each in a process of its own, and
// plays clients, backends, discovery and counter itself, on loopback addresses and the real clock. It exits with 0 if the
// rule of the case held, with 1 if the rule was broken, and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
)

// A verdict of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name.
var cases = map[string]func(l *lab) error{}

func main() {
	// The gateways get SIGKILL when the thread that started them ends, so all of them are started from this thread.
	runtime.LockOSThread()
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the project")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *root, *record, os.Getenv("TROUBLE") != "0"))
}

// run runs a case and returns the exit status.
func run(name, root, record string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return failed
	}
	l, err := newLab(root, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer l.close()
	l.note("case %s, disruption: %v", name, trouble)
	err = play(l)
	switch {
	case err == nil:
		l.result("the rule held")
		return held
	case errors.Is(err, errBroken):
		l.result(err.Error())
		return broken
	}
	l.result("the case could not run: " + err.Error())
	return failed
}
