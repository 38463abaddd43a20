package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"amberlb/internal/lab/gatewayprocess"
)

// startTimeout is how long is waited for a gateway to be ready.
const startTimeout = 30 * time.Second

// gatewayNode is one gateway, of which one process runs at a time, and the proxy in front of it.
type gatewayNode struct {
	number  int
	options GatewayOptions
	proxy   *Proxy

	// The goroutine that plays the gateway's stops owns these.
	process *gatewayprocess.Gateway // nil while none runs
	current Process                 // record of the process that runs

	mu             sync.Mutex
	processNumber  int  // of the process that runs, or of the last one
	inRotation     bool // clients open new connections to it
	lastHardKilled int  // number of the last process that got SIGKILL with no SIGTERM before
}

// newGatewayNode starts the proxy of a gateway, which has no process yet.
func (r *runner) newGatewayNode(number int) (*gatewayNode, error) {
	address, err := gatewayprocess.FreeAddress()
	if err != nil {
		return nil, err
	}
	proxy, err := StartProxy(address, r.plan.ClientFaults, r.plan.Seed+uint64(1000+number))
	if err != nil {
		return nil, err
	}
	options := GatewayOptions{
		Name:            fmt.Sprintf("n%d", number),
		Listen:          address,
		Discovery:       r.standins.discoveryProxy.Address(),
		DescriptorLimit: r.plan.DescriptorLimit,
		Classes:         r.plan.Classes,
		Env:             r.options.Env,
	}
	return &gatewayNode{number: number, options: options, proxy: proxy}, nil
}

// close kills the process, if one runs, and closes the proxy.
func (n *gatewayNode) close() {
	if n.process != nil {
		n.process.Close()
	}
	n.proxy.Close()
}

// nextProcessNumber counts one more process and returns its number.
func (n *gatewayNode) nextProcessNumber() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processNumber++
	return n.processNumber
}

// rotation returns the number of the process that runs, and whether clients open new connections to it.
func (n *gatewayNode) rotation() (processNumber int, inRotation bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processNumber, n.inRotation
}

// setInRotation sets whether clients open new connections to the gateway.
func (n *gatewayNode) setInRotation(inRotation bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inRotation = inRotation
}

// setHardKilled notes that the process that runs gets SIGKILL with no SIGTERM before.
func (n *gatewayNode) setHardKilled() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastHardKilled = n.processNumber
}

// wasHardKilled tells whether a process got SIGKILL with no SIGTERM before.
func (n *gatewayNode) wasHardKilled(processNumber int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastHardKilled == processNumber
}

// startProcess starts a gateway's next process, and lets clients connect to it once it is ready.
func (r *runner) startProcess(ctx context.Context, n *gatewayNode) error {
	n.current = Process{Gateway: n.number, Number: n.nextProcessNumber(), StartedAt: r.clock.Now()}
	options, err := n.options.ProcessOptions()
	if err != nil {
		return err
	}
	// The end of the run doesn't kill the process: it is stopped like any other.
	n.process, err = gatewayprocess.Start(context.WithoutCancel(ctx), r.options.Program, options)
	if err != nil {
		return err
	}
	if _, err := n.process.WaitReady(ctx, startTimeout); err != nil {
		if ctx.Err() == nil {
			n.current.neverReady = true
		} else {
			n.current.hardKilled = true
			n.current.SigkillAt = r.clock.Now()
		}
		r.recordEnd(n)
		return err
	}
	n.current.ReadyAt = r.clock.Now()
	n.setInRotation(true)
	return nil
}

// recordEnd waits for the end of a gateway's process, by force if it still runs, and records it.
func (r *runner) recordEnd(n *gatewayNode) {
	n.current.Err = n.process.Close()
	n.current.EndedAt = r.clock.Now()
	n.current.Log = n.process.Log()
	n.process = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, n.current)
}
