package registry_test

import (
	"errors"
	"fmt"
	"time"

	"comfreytiller.dev/registry"
)

// log stands for the replicated log.
type log struct {
	machine *registry.Machine
	index   uint64
}

func (l *log) commit(command registry.Command) (registry.Result, error) {
	l.index++
	result, err := registry.DecodeResult(l.machine.Apply(l.index, 1, registry.EncodeCommand(command)))
	if err != nil {
		return result, err
	}
	return result, result.Err()
}

func Example() {
	l := &log{machine: registry.NewMachine()}
	now := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	text := []byte(`{
		"Name": "Office", "FailureDomains": ["East"],
		"Services": [{"Name": "Treasury", "Kind": "Plain", "Calls": [{"Name": "ReleasePayment"}]}],
	}`)
	first := registry.ApplyFleet{Operation: registry.Operation{ID: "a", Time: now}, Config: text}
	result, err := l.commit(first)
	fmt.Println(result.Version, err)

	// A resend gets the same answer, a second change of the same base loses.
	result, err = l.commit(first)
	fmt.Println(result.Version, err)
	_, err = l.commit(registry.ApplyFleet{Operation: registry.Operation{ID: "b", Time: now}, Config: text})
	fmt.Println(errors.Is(err, registry.ErrConflict))
	// Output:
	// 1 <nil>
	// 1 <nil>
	// true
}
