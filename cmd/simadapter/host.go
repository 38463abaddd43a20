package main

import (
	"fmt"

	"amberlb/internal/wire"
	"amberlb/policy"
)

// notStartedError is the number of an instance that got an event before it was started.
type notStartedError uint32

func (e notStartedError) Error() string { return fmt.Sprintf("instance %d has not started", uint32(e)) }

// unknownClassOrPlanError is the id of a request whose class or plan is not in its instance's settings.
type unknownClassOrPlanError policy.RequestID

func (e unknownClassOrPlanError) Error() string {
	return fmt.Sprintf("request %d: no such class or plan in the settings", policy.RequestID(e))
}

// instance is one gateway. Its actions of the current batch are kept apart from those of other instances,
// since the reply groups them.
type instance struct {
	settings policy.Settings
	engine   *policy.Engine  // nil while the instance is stopped
	actions  []policy.Action // in answer to the current batch
	inReply  bool            // it is in host.replyOrder
}

// start begins a new incarnation. What an earlier one did in the same batch is void.
func (inst *instance) start(start *wire.InstanceStart, now float64) {
	inst.settings = start.Settings
	inst.engine, inst.actions = policy.New(start.Settings, start.Seed, now, inst.actions[:0])
}

// stop ends the incarnation with all that it holds.
func (inst *instance) stop() {
	inst.engine = nil
	inst.actions = inst.actions[:0]
}

// handle passes an event to the engine. Events for a stopped instance are void.
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

// hasClassAndPlan reports whether the settings have the class and the plan of a request.
func (inst *instance) hasClassAndPlan(request policy.Request) bool {
	return request.Class < len(inst.settings.Classes) && request.Plan < len(inst.settings.Plans)
}

// host runs the instances. It keeps them apart: nothing passes from one to another.
type host struct {
	instances  map[uint32]*instance
	replyOrder []uint32 // instances with records in the current batch, in the order of their first ones
}

func newHost() *host { return &host{instances: map[uint32]*instance{}} }

// handleBatch passes the records of a batch to their instances and fills the reply with the actions.
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

// instanceFor returns the instance that a record is for, and adds it to the reply. The first start makes it.
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
