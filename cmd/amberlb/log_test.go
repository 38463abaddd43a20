package main

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"amberlb/internal/lab/soak"
)

// A log that nobody takes, be it closed or full, neither ends a gateway nor holds up its requests or its stop.
func TestLogThatNobodyTakes(t *testing.T) {
	t.Parallel()
	for name, closed := range map[string]bool{"closed": true, "full": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer reader.Close()
			classes := []soak.Class{{Name: string(soak.NonIdempotent), Idempotency: soak.NonIdempotent, Deadline: time.Second}}
			_, discovery := hangingBackends(t, soak.NewClock())
			options := gatewayOptions(t, classes, discovery)
			config, err := options.ConfigFile()
			if err != nil {
				t.Fatal(err)
			}
			cmd, _ := command(t, string(config))
			cmd.Env = append(cmd.Env, options.Env...)
			cmd.Stderr = writer
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			writer.Close()
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			defer cmd.Process.Kill()
			awaitReady(t, options.Listen)
			if closed {
				reader.Close()
			}
			for range 1000 { // each is read by itself and leaves a line, which fills a pipe of 64 KiB
				cmd.Process.Signal(syscall.SIGHUP)
				time.Sleep(time.Millisecond)
			}
			awaitReady(t, options.Listen)
			cmd.Process.Signal(syscall.SIGTERM)
			select {
			case err := <-ended:
				if err != nil {
					t.Errorf("ended with %v", err)
				}
			case <-time.After(soak.KillAfter(classes)):
				t.Error("the stop has not ended when SIGKILL may come")
			}
		})
	}
}

// awaitReady waits until a gateway says that it is ready.
func awaitReady(t *testing.T, listen string) {
	t.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(patience / 2); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if resp, err := client.Get("http://" + listen + "/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	t.Fatal("the gateway doesn't become ready, or has ended")
}
