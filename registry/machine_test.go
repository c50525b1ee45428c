package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testConfig = `{
	// A small fleet.
	"Name": "test",
	"FailureDomains": ["north", "south", "west"],
	"Services": [
		{"Name": "engines", "Kind": "Model", "Model": "m1", "Calls": [{"Name": "Ask", "Idempotent": true}]},
		{"Name": "treasury", "Kind": "Plain", "Calls": [{"Name": "ReleasePayment"}]},
	],
	"Workspaces": [{"Name": "rabat"}],
}
`

var testStart = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// replica applies commands to a machine at consecutive log indexes.
type replica struct {
	*Machine
	index uint64
	term  uint64
}

func newReplica() *replica {
	return &replica{Machine: NewMachine(), term: 1}
}

func (r *replica) applyCommand(t require.TestingT, command Command) Result {
	r.index++
	result, err := DecodeResult(r.Apply(r.index, r.term, EncodeCommand(command)))
	require.NoError(t, err)
	return result
}

func (r *replica) mustOpenSession(t require.TestingT, host, domain string, start uint64) uint64 {
	result := r.applyCommand(t, OpenSession{
		Host: host, FailureDomain: domain, PeerAddress: "127.0.0.1:7000", CallerAddress: "127.0.0.1:8000", CanOwn: true, ProcessNonce: start,
	})
	require.NoError(t, result.Err())
	return result.Session
}

func (r *replica) applyFleetConfig(t require.TestingT, operation string, base uint64, config string) Result {
	return r.applyCommand(t, ApplyFleet{Operation: Operation{ID: operation, Time: testStart}, BaseVersion: base, Config: []byte(config)})
}

func TestApplyFleet_AssignsOwners(t *testing.T) {
	r := newReplica()
	changed := r.Changed()
	session := r.mustOpenSession(t, "host-1", "north", 1)
	<-changed
	require.Equal(t, uint64(1), r.applyFleetConfig(t, "op-1", 0, testConfig).Version)
	view := r.View()
	require.Equal(t, "test", view.Fleet.Name)
	require.Equal(t, session, view.Owners["engines"].Session)
	require.Equal(t, uint64(2), view.Owners["engines"].Fence)
}
