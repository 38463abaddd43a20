package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A process that uses more memory than the runtime's limit leaves a line in its log that tells what it holds, and not
// one line for each reading.
func TestMemoryOverLimitIsLogged(t *testing.T) {
	t.Parallel()
	g := startTestGateway(t)
	var log bytes.Buffer
	watch := g.server.newMemoryWatch()
	watch.log = slog.New(slog.NewTextHandler(&log, nil))
	now := time.Now()
	watch.limit = 1 << 50
	watch.check(now)
	if log.Len() > 0 {
		t.Errorf("logged below the limit: %s", &log)
	}
	watch.limit = 1
	watch.check(now)
	watch.check(now.Add(memoryWatchInterval))
	line := log.String()
	for _, key := range []string{" used=", "clients.reading=", "request_memory.held=", "open_requests=", "timers=", "memory.live="} {
		if strings.Count(line, key) != 1 {
			t.Errorf("%d times %q in %q, want once", strings.Count(line, key), key, line)
		}
	}
	log.Reset()
	watch.check(now.Add(memoryWatchWarnInterval))
	if log.Len() == 0 {
		t.Error("the second line never came")
	}
}
