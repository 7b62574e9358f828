package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"swiftpitch/internal/config"
	"swiftpitch/internal/policy"
)

// inputBufferSize is the size in bytes of the input's buffer; most batches fit into it.
const inputBufferSize = 1 << 20

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	adapter := newAdapter()
	input := bufio.NewReaderSize(in, inputBufferSize)
	for number := 1; ; number++ {
		line, err := input.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			return adapter.checkComplete(number - 1)
		}
		if err != nil && err != io.EOF {
			return err
		}
		reply, err := adapter.handleLine(line)
		if err != nil {
			return &lineError{Line: number, Err: err}
		}
		if len(reply) == 0 {
			continue
		}
		if _, err := out.Write(reply); err != nil {
			return err
		}
	}
}

// adapter holds the policy's instances of this process and the batch at hand. It has no
// goroutines and is used from one.
type adapter struct {
	now                  policy.Time
	instances            map[int]*policy.Gateway
	endpointListByNumber map[int][]policy.Endpoint // by the number under which Inventory gave them
	batchOpen            bool
	reply                []byte          // to the batch; its memory is used again
	actions              []policy.Action // of one event; its memory is used again
}

func newAdapter() *adapter {
	return &adapter{
		instances:            map[int]*policy.Gateway{},
		endpointListByNumber: map[int][]policy.Endpoint{},
	}
}

// checkComplete returns an error if the input ends, after its given last line, inside a batch.
func (a *adapter) checkComplete(lastLine int) error {
	if a.batchOpen {
		return &lineError{Line: lastLine, Err: errInputEndsInBatch}
	}
	return nil
}

// handleLine handles one line. It returns the reply if the line completes a batch, else nothing;
// the reply is valid until the next call.
func (a *adapter) handleLine(line []byte) (reply []byte, err error) {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return nil, fmt.Errorf("malformed: %w", err)
	}
	switch {
	case m.Name == messageRound && !a.batchOpen:
		return nil, a.beginBatch(&m)
	case m.Name == messageGo && a.batchOpen:
		return a.completeBatch(), nil
	case m.Name == messageRound || !a.batchOpen:
		return nil, fmt.Errorf("%q %w", m.Name, errWrongBatchState)
	case m.Name == messageInventory:
		return nil, a.storeEndpoints(&m)
	default:
		return nil, a.handleInstanceMessage(&m)
	}
}

// beginBatch sets the time of a new batch.
func (a *adapter) beginBatch(m *message) error {
	if m.Time == nil {
		return &messageError{Name: m.Name, Err: errors.New("no simTime")}
	}
	now := policy.Time(*m.Time)
	if now < a.now {
		return &messageError{Name: m.Name, Err: fmt.Errorf("simTime %d goes back", *m.Time)}
	}
	a.now = now
	a.batchOpen = true
	a.reply = a.reply[:0]
	return nil
}

// completeBatch ends the batch and returns its reply.
func (a *adapter) completeBatch() []byte {
	a.batchOpen = false
	a.reply = append(a.reply, endLine...)
	return a.reply
}

// storeEndpoints keeps a numbered list of endpoints, to which later messages refer.
func (a *adapter) storeEndpoints(m *message) error {
	endpoints, err := m.endpoints()
	if err != nil {
		return &messageError{Name: m.Name, Err: err}
	}
	a.endpointListByNumber[m.ListNumber] = endpoints
	return nil
}

// handleInstanceMessage handles a message to one instance.
func (a *adapter) handleInstanceMessage(m *message) error {
	if m.InstanceID == nil {
		return fmt.Errorf("%q: %w", m.Name, errNoInstanceID)
	}
	id := *m.InstanceID
	if m.Name == messageStart {
		return a.startInstance(id, m)
	}
	instance := a.instances[id]
	if instance == nil {
		return &messageError{Name: m.Name, Err: &notRunningError{InstanceID: id}}
	}
	if m.Name == messagePowerOff {
		delete(a.instances, id)
		return nil
	}
	event, err := a.decodeEvent(m)
	if err != nil {
		return &messageError{Name: m.Name, Err: err}
	}
	if event == nil {
		return nil
	}
	return a.step(id, instance, event)
}

// startInstance starts an instance, in place of one of the same number if there is one.
func (a *adapter) startInstance(id int, m *message) error {
	settings, err := config.Decode(m.Settings)
	if err != nil {
		err = &config.KeyError{Key: "setup", Err: err}
		return &messageError{Name: m.Name, Err: err}
	}
	instance, err := policy.New(a.now, settings.Policy(m.Seed))
	if err != nil {
		return &messageError{Name: m.Name, Err: err}
	}
	a.instances[id] = instance
	return nil
}

// step hands an event to an instance and appends its actions to the reply.
func (a *adapter) step(id int, instance *policy.Gateway, event policy.Event) error {
	a.actions = instance.Step(a.now, event, a.actions[:0])
	for _, action := range a.actions {
		reply, err := appendAction(a.reply, id, action)
		if err != nil {
			return err
		}
		a.reply = reply
	}
	return nil
}
