package gateway

import (
	"strings"
	"testing"
	"time"
)

// testSettings holds the settings of a deployment without quotas, in which requests need no calls to the counter.
const testSettings = `{"fleetSize": 2, "rank": 1, "tickS": 0.002, "localities": ["a", "b"], "kinds": ["m"],
	"allowed": {"cancel": true, "mostTries": 4, "connectTimeoutS": 5, "keepaliveS": 15, "retryAfter": true, "maxRetryAfterS": 0.5},
	"obligations": {"answerSlackS": 0.01, "drainGraceS": 2},
	"classes": [
		{"name": "lookup", "objectiveS": 10, "deadlineS": 20, "points": 1, "effect": "repeatable"},
		{"name": "booking", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "by_key", "keyScope": "cell", "windowS": 8},
		{"name": "payment", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "once"},
		{"name": "glance", "objectiveS": 0.2, "deadlineS": 20, "points": 1, "effect": "repeatable"}],
	"packages": [{"name": "basic", "pays": 1}, {"name": "council", "pays": 2}],
	"familyInfo": {"mostUnits": 4}}`

// configText returns the text of a configuration file with the given discovery address and settings.
func configText(discovery, settings string) string {
	return `{"name": "n3", "listen": "127.0.0.1:0", "discovery": "` + discovery + `", "seed": "8c1f30d27a5be964",
	"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "counter": "127.0.0.1:1",
	"known": {"generation": 41, "reset": true, "instances": []}, "settings": ` + settings + `}`
}

func TestParseConfig(t *testing.T) {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.GatewayIndex != 1 || c.ClassNames[1] != "booking" || c.PlanNames[1] != "council" ||
		c.IdleTimeout != 15 || c.Sockets != 1024 || c.CachedEndpoints.Generation != 41 || c.Zones[1] != "b" {
		t.Errorf("read %+v", c)
	}
}

// An invalid configuration is rejected with a one-line error that names the key.
func TestParseConfigRejectsInvalidKeys(t *testing.T) {
	withCounter := strings.Replace(testSettings, `"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 0.05`, 1)
	valid := configText("127.0.0.1:1", withCounter)
	for _, c := range []struct {
		name     string
		old, new string // old is the part of a valid configuration that new replaces
		key      string // the key at the beginning of the error; "": the error need not name a key
	}{
		{"text that is not JSON", `{`, ``, ""},
		{"a seed that is not a number", `"seed": "8c1f30d27a5be964"`, `"seed": "x"`, "seed"},
		{"no port to listen on", `"listen": "127.0.0.1:0"`, `"listen": "127.0.0.1"`, "listen"},
		{"no discovery", `"discovery": "127.0.0.1:1"`, `"discovery": ""`, "discovery"},
		{"no counter", `"counter": "127.0.0.1:1"`, `"counter": ""`, "counter"},
		{"too few sockets", `"sockets": 1024`, `"sockets": 10`, "limits.sockets"},
		{"no cores", `"cores": 1.0`, `"cores": 0`, "limits.cores"},
		{"memory that is not a number", `"memory_mb": 192`, `"memory_mb": "much"`, ""},
		{"an index beyond the fleet", `"rank": 1`, `"rank": 2`, "settings"},
		{"no tick", `"tickS": 0.002`, `"tickS": 0`, "settings"},
		{"no idle timeout", `"keepaliveS": 15`, `"keepaliveS": 0`, "settings"},
		{"a duplicate class", `"name": "booking"`, `"name": "lookup"`, "settings"},
		{"a plan without a name", `"name": "council"`, `"name": ""`, "settings"},
		{"an unknown idempotency", `"effect": "once"`, `"effect": "twice"`, "settings"},
		{"no settings", `"settings"`, `"other"`, ""},
		{"no latency objective", `"objectiveS": 0.2`, `"objectiveS": 0`, "settings"},
		{"no deadline", `"deadlineS": 20, "points": 1, "effect": "repeatable"}]`, `"points": 1, "effect": "repeatable"}]`, "settings"},
		{"an excessive deadline", `"deadlineS": 20`, `"deadlineS": 1e12`, "settings"},
		{"a priority weight below 0", `"points": 3`, `"points": -3`, "settings"},
		{"a weight factor below 0", `"pays": 2`, `"pays": -2`, "settings"},
		{"a rate without a burst", `"pays": 2`, `"pays": 2, "unitsPerS": 3`, "settings"},
		{"a rate below 0", `"pays": 2`, `"pays": 2, "unitsPerS": -3`, "settings"},
		{"a ceiling without a burst", `"pays": 2`, `"pays": 2, "neverOverRate": 9`, "settings"},
		{"a concurrency limit below 0", `"pays": 2`, `"pays": 2, "atOnce": -1`, "settings"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(valid, c.old) {
				t.Fatalf("%s is not in the configuration", c.old)
			}
			_, err := parseConfig([]byte(strings.Replace(valid, c.old, c.new, 1)))
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Fatalf("%s: error %v", c.new, err)
			}
			if c.key != "" && !strings.HasPrefix(err.Error(), c.key+": ") {
				t.Errorf("the error %q does not begin with the key %s", err, c.key)
			}
		})
	}
}

func TestReadConfigRejectsMissingFile(t *testing.T) {
	if _, err := ReadConfig(t.TempDir() + "/none"); err == nil {
		t.Error("a missing file was read")
	}
}

// All gateways must compute the same counter windows from their clocks, so each clock must show Unix time.
func TestClockIsUnixTime(t *testing.T) {
	c := newClock()
	now := c.now()
	if d := time.Since(c.toTime(now)); d < 0 || d > testTimeout || time.Since(time.Unix(int64(now), 0)) > testTimeout {
		t.Errorf("the clock shows %f, which is %v ago", now, d)
	}
}

// With little memory, the memory limit allows fewer client connections than the descriptor limit. The memory limit must
// still allow a third as many connections as there are descriptors, because requests may need that many.
func TestMaxClientConns(t *testing.T) {
	for _, c := range []struct{ memoryMB, sockets, want int }{
		{192, 1024, 720},
		{192, 256, 144},
		{32, 256, 144},
		{32, 1024, 341},
	} {
		if got := (&Config{MemoryMB: c.memoryMB, Sockets: c.sockets}).limits().clientConns; got != c.want {
			t.Errorf("%d MB, %d sockets: %d, want %d", c.memoryMB, c.sockets, got, c.want)
		}
	}
}
