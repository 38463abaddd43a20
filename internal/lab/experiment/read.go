package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Read reads and validates the experiment file at path. If sweep is not "", it replaces the
// sweep in the file. Defaults are not applied to the returned experiment. The text of an
// error for an invalid file or sweep is one line that names the invalid key.
func Read(path, sweep string) (Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, err
	}
	e, err := parseExperiment(text)
	if err != nil {
		return Experiment{}, fmt.Errorf("%s: %w", path, err)
	}
	if sweep != "" {
		e.Sweep = sweep
	}
	if _, _, err := e.sweepPoints(); err != nil {
		return Experiment{}, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// parseExperiment parses the text of an experiment file. An unknown key is an error.
func parseExperiment(text []byte) (Experiment, error) {
	var e Experiment
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&e)
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		first := &unknownKeys.Errors[0]
		line, _ := first.Position()
		return Experiment{}, fmt.Errorf("line %d: unknown key %q", line, strings.Join(first.Key(), "."))
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		return Experiment{}, fmt.Errorf("line %d: key %q: %v", line, strings.Join(invalid.Key(), "."), invalid)
	}
	return e, err
}
