package main

import (
	"fmt"

	"amberlb/internal/wire"
	"amberlb/policy"
)

// notStartedError reports a record for an instance that was never started. Its value is the instance's number.
type notStartedError uint32

func (e notStartedError) Error() string {
	return fmt.Sprintf("instance %d was never started", uint32(e))
}

// unknownClassOrPlanError reports a request whose class or plan is not in the settings of its instance. Its value
// is the request's id.
type unknownClassOrPlanError policy.RequestID

func (e unknownClassOrPlanError) Error() string {
	return fmt.Sprintf("request %d: its class or plan is not in the settings", policy.RequestID(e))
}

// instance is one simulated gateway. During a batch, it collects its own actions, since the reply groups the actions
// by instance. Each start of an instance begins a new incarnation, which has no state of the previous incarnation.
type instance struct {
	settings policy.Settings
	engine   *policy.Engine  // nil while the instance is stopped
	actions  []policy.Action // actions that result from the current batch
	inReply  bool            // host.replyOrder contains this instance
}

// start begins a new incarnation. It discards the actions of earlier incarnations in the same batch.
func (inst *instance) start(start *wire.InstanceStart, now float64) {
	inst.settings = start.Settings
	inst.engine, inst.actions = policy.New(start.Settings, start.Seed, now, inst.actions[:0])
}

// stop ends the incarnation. It discards the engine and the actions of the current batch.
func (inst *instance) stop() {
	inst.engine = nil
	inst.actions = inst.actions[:0]
}

// handle passes an event to the engine. It ignores events for a stopped instance.
func (inst *instance) handle(event policy.Event, now float64) error {
	if inst.engine == nil {
		return nil
	}
	if request, ok := event.(policy.Request); ok && !inst.hasClassAndPlan(request) {
		return unknownClassOrPlanError(request.ID)
	}
	inst.actions = inst.engine.Handle(now, event, inst.actions)
	return nil
}

// hasClassAndPlan reports whether the settings define the class and the plan of a request.
func (inst *instance) hasClassAndPlan(request policy.Request) bool {
	return request.Class < len(inst.settings.Classes) && request.Plan < len(inst.settings.Plans)
}

// host runs the instances, which share no state.
type host struct {
	instances  map[uint32]*instance
	replyOrder []uint32 // numbers of the instances with records in the current batch, in the order of their first record
}

func newHost() *host { return &host{instances: map[uint32]*instance{}} }

// handleBatch passes the records of a batch to their instances and writes the resulting actions to the reply.
func (h *host) handleBatch(batch wire.Batch, reply *wire.Reply) error {
	reply.Reset(batch.Seq)
	h.replyOrder = h.replyOrder[:0]
	for _, record := range batch.Records {
		if err := h.handleRecord(record, batch.Now); err != nil {
			return err
		}
	}
	for _, number := range h.replyOrder {
		inst := h.instances[number]
		inst.inReply = false
		if err := reply.Add(number, inst.actions); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) handleRecord(record wire.Record, now float64) error {
	inst, err := h.instanceFor(record)
	if err != nil {
		return err
	}
	switch {
	case record.Start != nil:
		inst.start(record.Start, now)
	case record.Stop:
		inst.stop()
	default:
		return inst.handle(record.Event, now)
	}
	return nil
}

// instanceFor returns the instance that a record is for and lists it in replyOrder. It creates the instance if the
// record is the first start of the instance.
func (h *host) instanceFor(record wire.Record) (*instance, error) {
	inst := h.instances[record.Instance]
	if inst == nil {
		if record.Start == nil {
			return nil, notStartedError(record.Instance)
		}
		inst = &instance{}
		h.instances[record.Instance] = inst
	}
	if !inst.inReply {
		inst.inReply = true
		inst.actions = inst.actions[:0]
		h.replyOrder = append(h.replyOrder, record.Instance)
	}
	return inst, nil
}
