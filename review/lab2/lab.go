package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// lab is what a case runs in: its record, its temporary folder and its gateways.
type lab struct {
	root    string // root of the project
	dir     string // temporary folder
	command string // the command of the deploy file that starts a gateway
	trouble bool   // the case plays its disruption
	start   time.Time

	mu       sync.Mutex
	file     *os.File
	record   *bufio.Writer
	gateways []*gateway
}

// runLine is the line of the deploy file that says how a gateway is started.
var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

func newLab(root, record string, trouble bool) (*lab, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	command := runLine.FindSubmatch(deploy)
	if command == nil {
		return nil, fmt.Errorf("the deploy file has no line 'run'")
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return &lab{
		root: root, dir: dir, command: string(command[1]), trouble: trouble, start: time.Now(),
		file: file, record: bufio.NewWriter(file),
	}, nil
}

// note writes a line to the record, with the time since the start.
func (l *lab) note(format string, args ...any) {
	l.noteAt(time.Now(), format, args...)
}

// noteAt writes a line to the record, with the given time.
func (l *lab) noteAt(at time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.4f ", at.Sub(l.start).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

// result writes the outcome to the record and to standard output.
func (l *lab) result(text string) {
	l.note("RESULT: %s", text)
	fmt.Println(text)
}

// close ends all gateways and removes the temporary folder.
func (l *lab) close() {
	for _, g := range l.gateways {
		g.kill()
	}
	l.mu.Lock()
	l.record.Flush()
	l.file.Close()
	l.mu.Unlock()
	os.RemoveAll(l.dir)
}

// gateway is one gateway process.
type gateway struct {
	lab     *lab
	name    string
	address string // for clients
	config  string // path of the configuration file
	command *exec.Cmd
	ended   chan struct{}
	log     bytes.Buffer
}

// gatewayOptions are the parts of a gateway's configuration that differ between cases.
type gatewayOptions struct {
	name      string
	discovery string
	counter   string
	known     any
	memoryMB  int
	sockets   int
	settings  map[string]any
	seed      uint64
}

// configure writes the gateway's configuration file.
func (g *gateway) configure(o gatewayOptions) error {
	config := map[string]any{
		"name": o.name, "listen": g.address, "discovery": o.discovery, "counter": o.counter, "seed": fmt.Sprintf("%016x", o.seed),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": o.sockets},
		"settings": o.settings,
	}
	if o.known != nil {
		config["known"] = o.known
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	next := g.config + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, g.config)
}

// startGateway starts a gateway and waits until it is ready.
func (l *lab) startGateway(o gatewayOptions) (*gateway, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	g := &gateway{lab: l, name: o.name, address: address, config: filepath.Join(l.dir, o.name+".json")}
	if err := g.configure(o); err != nil {
		return nil, err
	}
	l.gateways = append(l.gateways, g)
	if err := g.run(); err != nil {
		return nil, err
	}
	return g, g.awaitReady(30 * time.Second)
}

// run starts the process of the gateway.
func (g *gateway) run() error {
	g.command = exec.Command("/bin/sh", "-c", g.lab.command)
	g.command.Dir = g.lab.root
	g.command.Env = append(os.Environ(), "EDGE_CONFIG="+g.config, "EDGE_NAME="+g.name, "EDGE_LISTEN="+g.address)
	g.command.Stderr = &g.log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.ended = ended
	command := g.command
	go func() {
		command.Wait()
		close(ended)
	}()
	g.lab.note("%s started at %s", g.name, g.address)
	return nil
}

// awaitReady waits until the gateway is ready.
func (g *gateway) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if g.hasEnded() {
			return fmt.Errorf("%s ended before it was ready: %s", g.name, g.log.String())
		}
		response, err := client.Get("http://" + g.address + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.lab.note("%s ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v", g.name, limit)
}

// hasEnded reports whether the process has ended.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process, which the lab has started.
func (g *gateway) signal(s syscall.Signal) {
	if !g.hasEnded() {
		g.lab.note("%s gets %v", g.name, s)
		g.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	if !g.hasEnded() {
		g.command.Process.Signal(syscall.SIGCONT)
		g.command.Process.Kill()
	}
	<-g.ended
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
