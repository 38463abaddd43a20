// Fleetlab measures gateways, real and hollow, between stand-ins of all that they
// talk to. It exits with 0 if every bound of the experiment was kept and nothing
// is partial, with 2 for a bad file or argument, else with 1.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pelletier/go-toml/v2"

	"amberlb/internal/lab/experiment"
	"amberlb/internal/lab/gatewayprocess"
	"amberlb/internal/lab/hollow"
)

const (
	exitOK     = 0
	exitFailed = 1 // a bound, or the run itself
	exitUsage  = 2
)

type arguments struct {
	Run struct {
		experimentArguments
	} `cmd:"" help:"Run one experiment."`
	Sweep struct {
		experimentArguments
		Over string `required:"" placeholder:"KEY=V1,V2,..." help:"What takes which values, such as backends=42,200,2000."`
	} `cmd:"" help:"Run an experiment at several values of one key, and fit a slope to each figure."`
	Soak   soakArguments `cmd:"" help:"Play seeded trouble on real gateways, and check what became of every request."`
	Hollow struct{}      `cmd:"" hidden:"" help:"Run the job of hollow gateways on standard input."`
}

type experimentArguments struct {
	File     string `arg:"" help:"The experiment, such as lab/quick.toml."`
	Report   string `help:"Where the JSON report goes. Else to logs/ under the experiment's name."`
	Baseline string `placeholder:"DIR" help:"A checkout of an earlier version, which is built as its deploy file says and measured first."`
}

// usageError is a bad file or argument.
type usageError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run is the program: it returns its exit status.
func run(ctx context.Context, args []string, in io.Reader, out, errs io.Writer) int {
	var parsed arguments
	helpStatus := -1
	parser, err := kong.New(&parsed, kong.Name("fleetlab"), kong.Writers(out, errs), kong.Exit(func(status int) { helpStatus = status }),
		kong.Description("Measures gateways, real and hollow, between stand-ins."))
	if err != nil {
		panic(err) // the arguments' declaration is wrong
	}
	command, err := parser.Parse(args)
	if helpStatus >= 0 {
		return helpStatus // it was asked for help
	}
	if err != nil {
		fmt.Fprintln(errs, "fleetlab:", oneLine(err))
		return exitUsage
	}
	status := exitOK
	switch command.Command() {
	case "hollow":
		err = runHollow(ctx, in, out)
	case "soak":
		status, err = runSoak(ctx, parsed.Soak, out, errs)
	case "sweep <file>":
		status, err = runExperiment(ctx, parsed.Sweep.experimentArguments, parsed.Sweep.Over, out, errs)
	default:
		status, err = runExperiment(ctx, parsed.Run.experimentArguments, "", out, errs)
	}
	if use := (usageError{}); errors.As(err, &use) {
		status = exitUsage
	} else if err != nil {
		status = exitFailed
	}
	if err != nil {
		fmt.Fprintln(errs, "fleetlab:", oneLine(err))
	}
	return status
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// runHollow runs the job that it reads, and writes the result.
func runHollow(ctx context.Context, in io.Reader, out io.Writer) error {
	var job hollow.Job
	if err := json.NewDecoder(in).Decode(&job); err != nil {
		return usageError{fmt.Errorf("job: %w", err)}
	}
	result, err := hollow.Run(ctx, job)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(result)
}

// runExperiment runs an experiment, over the given values if there are any, prints
// what it gave and writes the report.
func runExperiment(ctx context.Context, args experimentArguments, sweep string, out, errs io.Writer) (int, error) {
	exp, err := experiment.Read(args.File, sweep)
	if err != nil {
		return 0, usageError{err}
	}
	log := slog.New(slog.NewTextHandler(errs, nil))
	lab := experiment.Lab{Log: log}
	if lab.Root, err = moduleRoot(); err != nil {
		return 0, usageError{err}
	}
	if args.Baseline != "" {
		before, err := baselineVersion(ctx, args.Baseline, log)
		if err != nil {
			return 0, usageError{err}
		}
		lab.Versions = append(lab.Versions, before)
	}
	after, err := currentVersion(ctx, lab.Root, log)
	if err != nil {
		return 0, err
	}
	lab.Versions = append(lab.Versions, after)
	report, err := lab.Run(ctx, args.File, exp)
	if err != nil {
		return 0, usageError{err}
	}
	report.Baseline = args.Baseline
	report.Print(out)
	path := args.Report
	if path == "" {
		path = filepath.Join(lab.Root, "logs", strings.TrimSuffix(filepath.Base(args.File), ".toml")+".json")
	}
	if err := report.Write(path); err != nil {
		return 0, err
	}
	log.Info("report", "file", path)
	if !report.Passed || report.Partial {
		return exitFailed, nil
	}
	return exitOK, nil
}

// moduleRoot is the directory of the module that this one stands in.
func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; ; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", errors.New("this is no directory of the repository")
		}
	}
}

// deployFile holds the two entries of a version's deploy file that the lab needs.
type deployFile struct {
	Build string
	Run   string
}

// readDeployFile reads the deploy file of the version in the directory root.
func readDeployFile(root string) (deployFile, error) {
	var deploy deployFile
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err == nil {
		err = toml.Unmarshal(text, &deploy)
	}
	if err != nil {
		return deployFile{}, fmt.Errorf("deploy file: %w", err)
	}
	return deploy, nil
}

// build builds the version in the directory root as its deploy file says, and returns its gateway.
func build(ctx context.Context, root string, log *slog.Logger) (gatewayprocess.Program, error) {
	deploy, err := readDeployFile(root)
	if err != nil {
		return gatewayprocess.Program{}, err
	}
	log.Info("build", "command", deploy.Build)
	command := exec.CommandContext(ctx, "/bin/sh", "-c", deploy.Build)
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return gatewayprocess.Program{}, fmt.Errorf("build: %w: %s", err, output)
	}
	return gatewayprocess.Program{Command: deploy.Run, Dir: root}, nil
}

// currentVersion builds the version that this program belongs to.
func currentVersion(ctx context.Context, root string, log *slog.Logger) (experiment.Version, error) {
	gateway, err := build(ctx, root, log)
	if err != nil {
		return experiment.Version{}, err
	}
	own, err := os.Executable()
	return experiment.Version{Name: experiment.Candidate, Gateway: gateway, Fleetlab: own}, err
}

// baselineVersion builds the earlier version that is checked out in the directory dir. Its gateway is started as its own
// deploy file says; its hollow gateways by the fleetlab that its build leaves in bin.
func baselineVersion(ctx context.Context, dir string, log *slog.Logger) (experiment.Version, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return experiment.Version{}, err
	}
	gateway, err := build(ctx, dir, log)
	if err != nil {
		return experiment.Version{}, fmt.Errorf("baseline: %w", err)
	}
	fleetlab, err := exec.LookPath(filepath.Join(dir, "bin", "fleetlab"))
	if err != nil {
		return experiment.Version{}, fmt.Errorf("baseline: %w", err)
	}
	return experiment.Version{Name: experiment.Baseline, Gateway: gateway, Fleetlab: fleetlab}, nil
}
