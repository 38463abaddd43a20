package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"amberlb/internal/lab/experiment"
	"amberlb/internal/lab/gatewayprocess"
)

// moduleRoot returns the root directory of the Go module that contains the working directory.
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
			return "", errors.New("neither the working directory nor a parent of it has a go.mod")
		}
	}
}

// buildVersions builds the versions to measure and returns them in the order of measuring.
// If baseline is not "", the first version is checked out in the directory baseline. This
// program belongs to the last version. If the version in the directory baseline can't be built,
// the error is a usageError.
func buildVersions(ctx context.Context, root, baseline string, log *slog.Logger) ([]experiment.Version, error) {
	var versions []experiment.Version
	if baseline != "" {
		version, err := baselineVersion(ctx, baseline, log)
		if err != nil {
			return nil, usageError{err}
		}
		versions = append(versions, version)
	}
	version, err := candidateVersion(ctx, root, log)
	if err != nil {
		return nil, err
	}
	return append(versions, version), nil
}

// candidateVersion builds the version that this program belongs to.
func candidateVersion(ctx context.Context, root string, log *slog.Logger) (experiment.Version, error) {
	program, err := buildGateway(ctx, root, log)
	if err != nil {
		return experiment.Version{}, err
	}
	executable, err := os.Executable()
	return experiment.Version{Name: experiment.Candidate, Gateway: program, Fleetlab: executable}, err
}

// baselineVersion builds the earlier version that is checked out in the directory dir. The command in the version's
// deploy file starts the gateway processes. The program bin/fleetlab, which the build makes, runs the hollow gateways.
func baselineVersion(ctx context.Context, dir string, log *slog.Logger) (experiment.Version, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return experiment.Version{}, err
	}
	program, err := buildGateway(ctx, dir, log)
	if err != nil {
		return experiment.Version{}, fmt.Errorf("baseline: %w", err)
	}
	executable, err := exec.LookPath(filepath.Join(dir, "bin", "fleetlab"))
	if err != nil {
		return experiment.Version{}, fmt.Errorf("baseline: %w", err)
	}
	return experiment.Version{Name: experiment.Baseline, Gateway: program, Fleetlab: executable}, nil
}

// buildGateway runs the build command of the version in the directory root, and returns the command that starts a
// gateway of this version. The version's deploy file holds both commands.
func buildGateway(ctx context.Context, root string, log *slog.Logger) (gatewayprocess.Program, error) {
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

// deployFile holds the entries of a version's deploy file that the lab needs. Each entry is a shell command that runs in
// the root directory of the version.
type deployFile struct {
	Build string // command that builds the programs
	Run   string // command that starts one gateway
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
