package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"amberlb/internal/lab/hollow"
)

// runHollow reads a hollow.Job from stdin, runs the job, and writes the hollow.Result to stdout.
// The job and the result are JSON. `fleetlab run` and `fleetlab sweep` start `fleetlab hollow` as
// a child process.
func runHollow(ctx context.Context, stdin io.Reader, stdout io.Writer) error {
	var job hollow.Job
	if err := json.NewDecoder(stdin).Decode(&job); err != nil {
		return usageError{fmt.Errorf("job: %w", err)}
	}
	result, err := hollow.Run(ctx, job)
	if err != nil {
		return err
	}
	return json.NewEncoder(stdout).Encode(result)
}
