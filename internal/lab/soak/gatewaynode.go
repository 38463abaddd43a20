package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"amberlb/internal/lab/gatewayprocess"
)

// startTimeout is the longest time that startProcess waits for a gateway to be ready.
const startTimeout = 30 * time.Second

// gatewayNode is a gateway with the proxy in front of it, if the plan has network faults for it. The gateway has at most one running process at a time; each
// restart starts a new process.
type gatewayNode struct {
	number  int
	options GatewayOptions
	proxy   *Proxy // nil: clients connect to the gateway itself

	// The goroutine that currently starts or stops the gateway owns the three fields below.
	process     *gatewayprocess.Gateway // the running process; nil: none
	current     Process                 // record of the running process
	watchedPeak func() int64            // ends the watch of the process's memory and returns the peak in bytes

	mu             sync.Mutex
	processNumber  int  // number of the running process, or of the last process if none is running
	inRotation     bool // clients open new connections to the gateway
	lastHardKilled int  // number of the last process with a hard kill; 0: none
}

// newGatewayNode creates a gateway and starts its proxy, but starts no process. Without network faults there is no proxy:
// the lab's own scheduling would delay what the proxy forwards.
func (r *runner) newGatewayNode(number int) (*gatewayNode, error) {
	address, err := gatewayprocess.FreeAddress()
	if err != nil {
		return nil, err
	}
	var proxy *Proxy
	if r.plan.ClientFaults != (NetworkFaults{}) {
		if proxy, err = StartProxy(address, r.plan.ClientFaults, r.plan.Seed+uint64(1000+number)); err != nil {
			return nil, err
		}
	}
	options := GatewayOptions{
		Name:            fmt.Sprintf("n%d", number),
		Listen:          address,
		Discovery:       r.standins.discoveryProxy.Address(),
		DescriptorLimit: r.plan.DescriptorLimit,
		MemoryMB:        r.plan.MemoryMB,
		Classes:         r.plan.Classes,
		Env:             r.options.Env,
	}
	return &gatewayNode{number: number, options: options, proxy: proxy}, nil
}

// close kills the running process, if there is one, and closes the proxy.
func (n *gatewayNode) close() {
	if n.process != nil {
		n.process.Close()
	}
	if n.proxy != nil {
		n.proxy.Close()
	}
}

// clientAddress returns the address to which clients connect.
func (n *gatewayNode) clientAddress() string {
	if n.proxy != nil {
		return n.proxy.Address()
	}
	return n.options.Listen
}

// nextProcessNumber increments the process number for the process that is about to start, and returns the number.
func (n *gatewayNode) nextProcessNumber() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processNumber++
	return n.processNumber
}

// rotation returns the number of the running process, and whether clients open new connections to it.
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

// setHardKilled records that the running process gets a hard kill.
func (n *gatewayNode) setHardKilled() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastHardKilled = n.processNumber
}

// wasHardKilled reports whether the process with the given number is the last one that got a hard kill.
func (n *gatewayNode) wasHardKilled(processNumber int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastHardKilled == processNumber
}

// startProcess starts the next process of a gateway, and puts it in rotation once it is ready.
func (r *runner) startProcess(ctx context.Context, n *gatewayNode) error {
	n.current = Process{Gateway: n.number, Number: n.nextProcessNumber(), StartedAt: r.clock.Now()}
	options, err := n.options.ProcessOptions()
	if err != nil {
		return err
	}
	// The process is started without ctx's cancellation, so that the end of the run does not kill it. At the end of the
	// run, it is stopped in the same way as in a restart.
	n.process, err = gatewayprocess.Start(context.WithoutCancel(ctx), r.options.Program, options)
	if err != nil {
		return err
	}
	n.watchedPeak = n.process.WatchMemory()
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

// recordEnd records the end of a gateway's process. If the process is still running, it is killed first.
func (r *runner) recordEnd(n *gatewayNode) {
	n.current.PeakMemory = n.watchedPeak()
	n.current.Err = n.process.Close()
	n.current.EndedAt = r.clock.Now()
	n.current.Log = n.process.Log()
	n.process = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, n.current)
}
