// Amberlb is one gateway on real sockets. EDGE_CONFIG names its
// configuration; SIGHUP makes it read that again, and SIGTERM answer what it
// holds and end.
package main

import (
	"context"
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

const (
	heapLimitShare = 0.7 // of the memory limit; stacks, sockets and the binary have the rest
	gcPercent      = 400 // percent between collections: the heap is small beside the limit
)

// logFlushTimeout is how long the end waits for the log to be taken.
const logFlushTimeout = 100 * time.Millisecond

func main() {
	signal.Ignore(syscall.SIGPIPE) // a log that is closed ends nothing
	log := asyncwriter.New(os.Stderr)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // one that waits stands for all: the file is read whole
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

func run(ctx context.Context, hup <-chan os.Signal, log io.Writer) error {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return fmt.Errorf("EDGE_CONFIG is not set")
	}
	c, err := gateway.ReadConfig(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(c.Cores)))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * heapLimitShare))
	debug.SetGCPercent(gcPercent)
	c.Log = slog.New(slog.NewTextHandler(log, nil)).With("gateway", c.Name)
	return gateway.Run(ctx, &c, gateway.Reload{Signal: hup,
		Read: func() (gateway.Config, error) { return gateway.ReadConfig(path) }})
}
