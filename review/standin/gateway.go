package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// GatewayConfig is what a gateway is told (DEPLOY, "What a gateway is told").
type GatewayConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Counter   string         `json:"counter,omitempty"`
	Seed      string         `json:"seed"`
	Limits    Limits         `json:"limits"`
	Known     *List          `json:"known,omitempty"`
	Settings  map[string]any `json:"settings"`
}

// Limits are the limits of a gateway.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Gateway is one gateway process.
type Gateway struct {
	GatewayConfig
	lab        *Lab
	configPath string
	logPath    string
	starts     int
	cmd        *exec.Cmd
	exited     chan struct{}
}

// NewGateway returns a gateway that is not started yet. If the configuration has no address, it gets a free one.
func (l *Lab) NewGateway(config GatewayConfig) (*Gateway, error) {
	if config.Listen == "" {
		address, err := l.FreeAddress(config.Settings["rank"].(int))
		if err != nil {
			return nil, err
		}
		config.Listen = address
	}
	g := &Gateway{GatewayConfig: config, lab: l, configPath: filepath.Join(l.Dir, config.Name+".json")}
	return g, g.WriteConfig()
}

// WriteConfig replaces the gateway's configuration file.
func (g *Gateway) WriteConfig() error {
	text, err := json.Marshal(g.GatewayConfig)
	if err != nil {
		return err
	}
	temporary := g.configPath + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, g.configPath)
}

// Start starts the gateway by the command of the deploy file.
func (g *Gateway) Start() error {
	run, err := g.lab.deployCommand("run")
	if err != nil {
		return err
	}
	g.starts++
	g.logPath = filepath.Join(g.lab.Dir, fmt.Sprintf("%s.%d.log", g.Name, g.starts))
	log, err := os.Create(g.logPath)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = g.lab.Root
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+g.configPath, "EDGE_NAME="+g.Name, "EDGE_LISTEN="+g.Listen,
		"EDGE_DISCOVERY="+g.Discovery, "TMPDIR="+g.lab.Dir)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	g.lab.Logf("%s: started by %q on %s", g.Name, run, g.Listen)
	go func() {
		cmd.Wait()
		g.lab.Logf("%s: process ended: %v", g.Name, cmd.ProcessState)
		close(exited)
	}()
	if g.starts == 1 {
		g.lab.AtEnd(g.Kill)
	}
	return nil
}

// Pid returns the id of the gateway's process.
func (g *Gateway) Pid() int { return g.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has ended.
func (g *Gateway) Exited() <-chan struct{} { return g.exited }

// Signal sends a signal to the gateway's process.
func (g *Gateway) Signal(signal syscall.Signal) {
	g.lab.Logf("%s: %v", g.Name, signal)
	g.cmd.Process.Signal(signal)
}

// Kill kills the process if it still runs, waits for its end and copies the end of its log to the record.
func (g *Gateway) Kill() {
	select {
	case <-g.exited:
	default:
		g.cmd.Process.Kill()
		<-g.exited
	}
	text, _ := os.ReadFile(g.logPath)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range lines[max(len(lines)-40, 0):] {
		g.lab.Logf("%s: log: %s", g.Name, line)
	}
}

// WaitReady waits until the gateway answers its readiness check with 200.
func (g *Gateway) WaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		select {
		case <-g.exited:
			return fmt.Errorf("%s ended before it was ready", g.Name)
		default:
		}
		response, err := client.Get("http://" + g.Listen + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.lab.Logf("%s: ready", g.Name)
			return nil
		}
	}
	return errors.New(g.Name + " is not ready in time")
}

// Plan is one plan of the settings.
type Plan struct {
	Name                          string
	Rate, Burst                   float64
	MaxConcurrent                 int
	CeilingRate, CeilingBurst     float64
	Slack, OverWorth, BeyondCosts float64
}

// Class is one class of the settings.
type Class struct {
	Name                  string
	Effect                string // "repeatable" or "once"
	ObjectiveS, DeadlineS float64
	LateWorth, Points     float64
}

// AmmanClasses are the two classes of the brief.
var AmmanClasses = []Class{
	{"invoice-check", "repeatable", 2, 8, 0, 3},
	{"advance-draw", "once", 4, 12, 0.2, 5},
}

// Settings returns the settings of a gateway of a small deployment, with the figures of amman-main.
func Settings(fleetSize, rank int, hasCounter bool, classes []Class, plans []Plan) map[string]any {
	var classList, planList []any
	for _, c := range classes {
		classList = append(classList, map[string]any{
			"name": c.Name, "effect": c.Effect, "keyScope": "all", "objectiveS": c.ObjectiveS, "deadlineS": c.DeadlineS,
			"lateWorth": c.LateWorth, "points": c.Points, "streamed": false, "windowS": 5.0,
		})
	}
	for _, p := range plans {
		planList = append(planList, map[string]any{
			"name": p.Name, "unitsPerS": p.Rate, "depth": p.Burst, "atOnce": p.MaxConcurrent, "pays": 1.0,
			"neverOverRate": p.CeilingRate, "ceilingBurst": p.CeilingBurst, "capSlack": p.Slack,
			"overWorth": p.OverWorth, "beyondCosts": p.BeyondCosts,
		})
	}
	return map[string]any{
		"allowed": map[string]any{
			"cancel": true, "connectTimeoutS": 0.25, "cpuUsPerS": 500000, "keepaliveS": 30.0, "maxOpen": 20000,
			"maxRetryAfterS": 0.5, "mayDuplicate": false, "mostTries": 5, "multiplex": 1, "peers": true, "probes": true,
			"retryAfter": true,
		},
		"classes": classList, "clients": map[string]any{"marksRetry": true}, "discovery": "push", "family": "gate",
		"familyInfo": map[string]any{
			"counterPrice": 0.02, "counterTimeoutS": 0.08, "hasCounter": hasCounter, "inboxPerS": 100.0, "mostUnits": 4,
			"truedUp": false, "usePeriodS": 0.0,
		},
		"fleetSize": fleetSize, "rank": rank, "tier": 0, "layers": []string{"advance-servers"},
		"kinds": []string{"small-fast", "wide-slow"}, "localities": []string{"floor-1", "floor-2", "floor-3"},
		"locality": rank % 3, "loadReport": map[string]any{"fields": []string{"pending", "busy_reqs"}, "how": "on_probe"},
		"obligations": map[string]any{
			"answerSlackS": 0.016, "askEveryS": 10.0, "coldFrom": 0.16, "coldS": 13.0, "drainGraceS": 2.0,
			"fallMultiple": 2.0, "overloadForS": 2.0,
		},
		"packages": planList,
		"prices":   map[string]any{"crossZone": 0.02, "lateFail": 0.05, "peer": 0.03, "probe": 0.01, "waste": 0.05},
		"tickS":    0.004, "weights": "rough",
	}
}
