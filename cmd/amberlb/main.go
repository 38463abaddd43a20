// Amberlb runs one gateway, which accepts HTTP requests and forwards them to backends. The environment variable
// EDGE_CONFIG holds the path of its configuration file. SIGHUP reloads the file. SIGTERM and SIGINT start a graceful
// shutdown, which answers the open requests before the process exits.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"amberlb/internal/asyncwriter"
	"amberlb/internal/gateway"
)

// configPathKey is the name of the environment variable that holds the path of the configuration file.
const configPathKey = "EDGE_CONFIG"

// gcPercent is the heap growth in percent between collections. It is high, since the heap is small compared to the limit.
const gcPercent = 400

// logFlushTimeout is the longest time to wait for queued log lines to be written before the process exits.
const logFlushTimeout = 100 * time.Millisecond

var errNoConfigPath = errors.New(configPathKey + " is not set")

func main() {
	signal.Ignore(syscall.SIGPIPE) // the process must survive if the reader of its log closes the pipe
	log := asyncwriter.New(os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // one pending signal is enough, since each reload reads the whole file
	signal.Notify(hup, syscall.SIGHUP)
	err := run(ctx, hup, log)
	if err != nil {
		fmt.Fprintln(log, "amberlb:", err)
	}
	log.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

// run reads the configuration and runs the gateway until ctx ends. Each signal on hup reloads the configuration.
func run(ctx context.Context, hup <-chan os.Signal, log io.Writer) error {
	path := os.Getenv(configPathKey)
	if path == "" {
		return errNoConfigPath
	}
	config, err := gateway.ReadConfig(path)
	if err != nil {
		return err
	}
	limitRuntime(&config)
	config.Log = slog.New(slog.NewTextHandler(log, nil)).With("gateway", config.Name)
	readConfig := func() (gateway.Config, error) { return gateway.ReadConfig(path) }
	return gateway.Run(ctx, &config, gateway.Reload{Signal: hup, Read: readConfig})
}

// limitRuntime applies the configuration's limits on processor cores and memory to the Go runtime.
func limitRuntime(config *gateway.Config) {
	runtime.GOMAXPROCS(int(math.Ceil(config.Cores)))
	debug.SetMemoryLimit(config.HeapLimit())
	debug.SetGCPercent(gcPercent)
}
