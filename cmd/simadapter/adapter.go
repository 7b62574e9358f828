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

// inputBufferSize is the size of the input buffer in bytes. Most batches fit into it.
const inputBufferSize = 1 << 20

// run reads batches from in and writes the replies to out until the input ends.
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

// adapter holds the instances of the policy and the current batch. It starts no goroutines and
// is not safe for concurrent use.
type adapter struct {
	now                  policy.Time               // time of the current or last batch
	instances            map[int]*policy.Gateway   // by instance ID
	endpointListByNumber map[int][]policy.Endpoint // lists of the Inventory messages
	batchOpen            bool                      // between Round and Go
	reply                []byte                    // to the current batch; reused for the next one
	actions              []policy.Action           // of one event; reused for the next one
}

func newAdapter() *adapter {
	return &adapter{
		instances:            map[int]*policy.Gateway{},
		endpointListByNumber: map[int][]policy.Endpoint{},
	}
}

// checkComplete returns an error if the input ended inside a batch; lastLine is the number of its
// last line.
func (a *adapter) checkComplete(lastLine int) error {
	if a.batchOpen {
		return &lineError{Line: lastLine, Err: errInputEndsInBatch}
	}
	return nil
}

// handleLine handles one line. It returns the reply if the line completes a batch, else nil. The
// reply is valid until the next call.
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
		return nil, fmt.Errorf("%q: %w", m.Name, errWrongBatchState)
	case m.Name == messageInventory:
		return nil, a.storeEndpoints(&m)
	default:
		return nil, a.handleInstanceMessage(&m)
	}
}

// beginBatch starts a batch and sets its time.
func (a *adapter) beginBatch(m *message) error {
	if m.Time == nil {
		return &messageError{Name: m.Name, Err: errors.New("simTime is missing")}
	}
	now := policy.Time(*m.Time)
	if now < a.now {
		return &messageError{Name: m.Name, Err: fmt.Errorf("simTime %d is before that of the previous batch", *m.Time)}
	}
	a.now = now
	a.batchOpen = true
	a.reply = a.reply[:0]
	return nil
}

// completeBatch ends the current batch and returns its reply.
func (a *adapter) completeBatch() []byte {
	a.batchOpen = false
	a.reply = append(a.reply, endLine...)
	return a.reply
}

// storeEndpoints stores a numbered list of endpoints, to which later messages refer.
func (a *adapter) storeEndpoints(m *message) error {
	endpoints, err := m.endpoints()
	if err != nil {
		return &messageError{Name: m.Name, Err: err}
	}
	a.endpointListByNumber[m.ListNumber] = endpoints
	return nil
}

// handleInstanceMessage handles a message for one instance.
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

// startInstance starts an instance. It replaces an instance with the same ID.
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

// step passes an event to an instance and appends the resulting actions to the reply.
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
