package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"amberlb/internal/lab/hollow"
)

// runHollow reads a hollow.Job from stdin, runs it, and writes the hollow.Result to stdout,
// both as JSON. The commands run and sweep start this command as a child process.
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
