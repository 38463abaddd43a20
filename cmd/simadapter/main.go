// Simadapter runs the decision module of many gateways on the simulator's wire:
// batches of events on standard input, one reply for each on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"amberlb/internal/wire"
	"amberlb/policy"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// instance is one gateway; gateway is nil while it is stopped.
type instance struct {
	settings policy.Settings
	engine   *policy.Engine
	actions  []policy.Action
	inReply  bool // it is in the order of this reply
}

// host keeps the instances apart: nothing passes from one to another.
type host struct {
	instances  map[uint32]*instance
	replyOrder []uint32 // instances with events in this batch
}

// serve answers each batch until the input ends.
func serve(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	writer := bufio.NewWriter(out)
	h := host{instances: map[uint32]*instance{}}
	var reply wire.Reply
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(batch, &reply); err != nil {
			return fmt.Errorf("batch %d: %w", batch.Seq, err)
		}
		if _, err := writer.Write(reply.Bytes()); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch hands a batch to its instances and fills the reply.
func (h *host) handleBatch(batch wire.Batch, reply *wire.Reply) error {
	reply.Reset(batch.Seq)
	h.replyOrder = h.replyOrder[:0]
	for _, rec := range batch.Records {
		if err := h.handleRecord(batch.Now, rec); err != nil {
			return err
		}
	}
	for _, id := range h.replyOrder {
		inst := h.instances[id]
		inst.inReply = false
		if err := reply.Add(id, inst.actions); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) handleRecord(now float64, rec wire.Record) error {
	inst := h.instances[rec.Instance]
	if inst == nil {
		if rec.Start == nil {
			return fmt.Errorf("instance %d has not started", rec.Instance)
		}
		inst = &instance{}
		h.instances[rec.Instance] = inst
	}
	if !inst.inReply {
		inst.inReply, inst.actions = true, inst.actions[:0]
		h.replyOrder = append(h.replyOrder, rec.Instance)
	}
	switch {
	case rec.Start != nil:
		inst.settings = rec.Start.Settings
		inst.actions = inst.actions[:0]
		inst.engine, inst.actions = policy.New(rec.Start.Settings, rec.Start.Seed, now, inst.actions)
	case rec.Stop:
		inst.engine, inst.actions = nil, inst.actions[:0]
	case inst.engine != nil: // events for a stopped instance are void
		if request, ok := rec.Event.(policy.Request); ok {
			if request.Class >= len(inst.settings.Classes) || request.Plan >= len(inst.settings.Plans) {
				return fmt.Errorf("request %d: no such class or plan in the settings", request.ID)
			}
		}
		inst.actions = inst.engine.Handle(now, rec.Event, inst.actions)
	}
	return nil
}
