package registry_test

import (
	"errors"
	"fmt"
	"time"

	"comfreytiller.dev/registry"
)

// replicatedLog simulates the replicated log.
type replicatedLog struct {
	machine *registry.Machine
	index   uint64
}

func (l *replicatedLog) commit(command registry.Command) (registry.Result, error) {
	l.index++
	result, err := registry.DecodeResult(l.machine.Apply(l.index, 1, registry.EncodeCommand(command)))
	if err != nil {
		return result, err
	}
	return result, result.Err()
}

func Example() {
	l := &replicatedLog{machine: registry.NewMachine()}
	now := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	config := []byte(`{
		"Name": "Office", "FailureDomains": ["East"],
		"Services": [{"Name": "Treasury", "Kind": "Plain", "Calls": [{"Name": "ReleasePayment"}]}],
	}`)
	first := registry.ApplyFleet{Operation: registry.Operation{ID: "a", Time: now}, Config: config}
	result, err := l.commit(first)
	fmt.Println(result.Version, err)

	// A retry gets the same result; another change based on the same version is a
	// conflict.
	result, err = l.commit(first)
	fmt.Println(result.Version, err)
	_, err = l.commit(registry.ApplyFleet{Operation: registry.Operation{ID: "b", Time: now}, Config: config})
	fmt.Println(errors.Is(err, registry.ErrConflict))
	// Output:
	// 1 <nil>
	// 1 <nil>
	// true
}
