package registry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// restart replaces the machine by one that is restored from its snapshot.
func (r *replica) restart(t require.TestingT) {
	snapshot, err := r.Snapshot()
	require.NoError(t, err)
	r.Machine = NewMachine()
	require.NoError(t, r.Restore(snapshot))
}

func TestApplyFleet_ConflictOnSameBase(t *testing.T) {
	r := newReplica()
	require.Equal(t, uint64(1), r.applyFleetConfig(t, "first", 0, testConfig).Version)
	winner := strings.Replace(testConfig, "rabat", "fes", 1)
	require.Equal(t, uint64(2), r.applyFleetConfig(t, "anna", 1, winner).Version)
	loser := r.applyFleetConfig(t, "bruno", 1, strings.Replace(testConfig, "rabat", "oujda", 1))
	require.ErrorIs(t, loser.Err(), ErrConflict)
	require.Equal(t, uint64(2), loser.Version)
	require.Equal(t, uint64(2), loser.ConfigVersion)
	require.Equal(t, winner, string(loser.Config), "a conflict returns the current configuration")
	ahead := r.applyFleetConfig(t, "carla", 3, testConfig)
	require.ErrorIs(t, ahead.Err(), ErrConflict, "a base that does not exist yet")

	r.applyFleetConfig(t, "dora", 2, testConfig)
	for _, restart := range []bool{false, true} {
		if restart {
			r.restart(t)
		}
		require.Equal(t, uint64(2), r.applyFleetConfig(t, "anna", 1, winner).Version, "the same operation gets the same result")
		again := r.applyFleetConfig(t, "bruno", 1, strings.Replace(testConfig, "rabat", "oujda", 1))
		require.ErrorIs(t, again.Err(), ErrConflict)
		require.Equal(t, uint64(2), again.Version)
		require.Equal(t, uint64(3), again.ConfigVersion)
		still := r.applyFleetConfig(t, "carla", 3, testConfig)
		require.ErrorIs(t, still.Err(), ErrConflict, "the result is kept even though the base version exists now")
		require.ErrorIs(t, r.applyFleetConfig(t, "anna", 1, testConfig).Err(), ErrOperationReused)
		require.Equal(t, uint64(3), r.View().FleetVersion)
	}
}

func TestOperations_LimitAndID(t *testing.T) {
	r := newReplica()
	out := func(id string, state bool) Result {
		return r.applyCommand(t, SetOutage{Operation: Operation{ID: id}, Target: "target-1", Out: state})
	}
	require.ErrorIs(t, out("", true).Err(), ErrMalformed)
	require.ErrorIs(t, out(strings.Repeat("x", MaxIdentifierBytes+1), true).Err(), ErrMalformed)
	require.NoError(t, out("drain", true).Err())
	require.NoError(t, out("restore", false).Err())
	for i := range MaxOperations - 2 {
		out(fmt.Sprint(i), false)
	}
	require.NoError(t, out("drain", true).Err())
	require.False(t, r.View().TargetsOut["target-1"], "a delayed duplicate of a drain must not undo the restore")
	out("one more", false)
	out("drain", true)
	require.True(t, r.View().TargetsOut["target-1"], "the oldest result is dropped")
	require.Len(t, r.state.operations.byID, MaxOperations)
}

func TestOutagesAndPins(t *testing.T) {
	r := newReplica()
	r.applyFleetConfig(t, "fleet", 0, testConfig)
	tests := []struct {
		name    string
		command func(Operation) Command
		want    error
	}{
		{"no name", func(o Operation) Command { return SetOutage{Operation: o, Out: true} }, ErrMalformed},
		{"two names", func(o Operation) Command {
			return SetOutage{Operation: o, FailureDomain: "north", Target: "t", Out: true}
		}, ErrMalformed},
		{"long name", func(o Operation) Command {
			return SetOutage{Operation: o, Target: strings.Repeat("t", 200), Out: true}
		}, ErrMalformed},
		{"unknown domain", func(o Operation) Command { return SetOutage{Operation: o, FailureDomain: "east", Out: true} }, ErrUnknown},
		{"bring back an unknown domain", func(o Operation) Command { return SetOutage{Operation: o, FailureDomain: "east"} }, nil},
		{"domain", func(o Operation) Command { return SetOutage{Operation: o, FailureDomain: "north", Out: true} }, nil},
		{"old base", func(o Operation) Command {
			return SetOutage{Operation: o, FailureDomain: "north", BaseVersion: 7}
		}, ErrConflict},
		{"base", func(o Operation) Command { return SetOutage{Operation: o, Target: "t-1", Out: true, BaseVersion: 1} }, nil},
		{"pin", func(o Operation) Command { return Pin{Operation: o, Target: "t-2", Service: "engines"} }, nil},
		{"pin to an unknown service", func(o Operation) Command { return Pin{Operation: o, Target: "t-2", Service: "none"} }, ErrUnknown},
		{"pin nothing", func(o Operation) Command { return Pin{Operation: o, Service: "engines"} }, ErrMalformed},
	}
	for _, test := range tests {
		result := r.applyCommand(t, test.command(Operation{ID: test.name}))
		require.ErrorIs(t, result.Err(), test.want, test.name)
	}
	view := r.View()
	require.Equal(t, map[string]bool{"north": true}, view.DomainsOut)
	require.Equal(t, map[string]bool{"t-1": true}, view.TargetsOut)
	require.Equal(t, map[string]string{"t-2": "engines"}, view.Pins)
	require.True(t, view.IsOutOfService("t-1", "south"))
	require.True(t, view.IsOutOfService("t-2", "north"))
	require.False(t, view.IsOutOfService("t-2", "south"))
	require.Equal(t, uint64(3), view.OutageVersion)

	refused := r.applyCommand(t, ApplyFleet{Operation: Operation{ID: "cut"}, BaseVersion: 1, Config: []byte(plainServicesConfig(1))})
	require.ErrorIs(t, refused.Err(), ErrInUse, "a pinned target uses the service")
	forced := r.applyCommand(t, ApplyFleet{Operation: Operation{ID: "force"}, BaseVersion: 1, Config: []byte(plainServicesConfig(1)), Force: true})
	require.NoError(t, forced.Err())
	require.Empty(t, r.View().Pins)
	require.Equal(t, map[string]bool{"north": true}, r.View().DomainsOut, "an outage persists across configuration changes")
	r.applyCommand(t, Pin{Operation: Operation{ID: "p"}, Target: "t-2", Service: "s0"})
	require.NoError(t, r.applyCommand(t, Pin{Operation: Operation{ID: "u"}, Target: "t-2"}).Err())
	require.Empty(t, r.View().Pins)
}

func TestApplyFleet_RemovesServiceInUse(t *testing.T) {
	r := newReplica()
	require.ErrorIs(t, r.applyCommand(t, Pin{Operation: Operation{ID: "early"}, Target: "t", Service: "s0"}).Err(), ErrUnknown)
	r.applyFleetConfig(t, "fleet", 0, testConfig)
	invalid := r.applyFleetConfig(t, "typo", 1, strings.Replace(testConfig, "Kind", "Kimd", 1))
	require.ErrorIs(t, invalid.Err(), ErrInvalid)
	require.ErrorContains(t, invalid.Err(), "line 6, column 23: Services[0].Kimd: unknown key")
	many := r.applyFleetConfig(t, "typos", 1, "{"+strings.Repeat(`"x": 1,`, 40)+"}")
	require.Len(t, many.Faults, MaxResultFaults)
	require.Equal(t, 43-MaxResultFaults, many.MoreFaults, "40 unknown keys and 3 missing keys")
	require.NoError(t, r.applyFleetConfig(t, "unused", 1, plainServicesConfig(1)).Err(), "no host owns a service yet")

	r.mustOpenSession(t, "host-1", "north", 1)
	refused := r.applyFleetConfig(t, "cut", 2, testConfig)
	require.ErrorIs(t, refused.Err(), ErrInUse)
	require.ErrorContains(t, refused.Err(), "s0")
	forced := r.applyCommand(t, ApplyFleet{Operation: Operation{ID: "force"}, BaseVersion: 2, Config: []byte(testConfig), Force: true})
	require.Equal(t, uint64(3), forced.Version)
	require.NotContains(t, r.View().Owners, "s0")
	require.Contains(t, r.View().Owners, "engines")
}

// TestApplyFleet_RemovesServiceWithOpenClaim checks that a service with an open
// claim cannot be removed, so that the claim keeps its service.
func TestApplyFleet_RemovesServiceWithOpenClaim(t *testing.T) {
	r := newReplica()
	r.applyFleetConfig(t, "fleet", 0, testConfig)
	session := r.applyCommand(t, OpenSession{Host: "host-1", ProcessNonce: 1}).Session
	r.applyCommand(t, openTestClaim(session, 1))
	require.ErrorIs(t, r.applyFleetConfig(t, "cut", 1, plainServicesConfig(1)).Err(), ErrInUse)
	r.applyCommand(t, FinishClaim{Key: testKey, Session: session, Attempt: 1})
	require.NoError(t, r.applyFleetConfig(t, "cut-2", 1, plainServicesConfig(1)).Err())
}

func TestOrders(t *testing.T) {
	r := newReplica()
	order := RecordOrder{ID: "o-1", Target: "t-1", Incarnation: 4, Kind: "Load", Service: "engines", Model: "m1", Version: "2", Time: testStart}
	recorded := r.applyCommand(t, order)
	require.NoError(t, recorded.Err())
	require.Equal(t, r.index, recorded.Order.Fence)
	again := r.applyCommand(t, order)
	require.NoError(t, again.Err())
	require.Equal(t, recorded.Order, again.Order, "recorded once")
	other := order
	other.ID = "o-2"
	busy := r.applyCommand(t, other)
	require.ErrorIs(t, busy.Err(), ErrRefused)
	require.Equal(t, "o-1", busy.Order.ID)
	other.Incarnation = 5
	require.NoError(t, r.applyCommand(t, other).Err(), "a new incarnation of the target is independent of the old order")
	require.ErrorIs(t, r.applyCommand(t, FinishOrder{ID: "o-1", State: OrderDone}).Err(), ErrUnknown)
	require.ErrorIs(t, r.applyCommand(t, FinishOrder{ID: "o-2", State: OrderPending}).Err(), ErrMalformed)
	require.NoError(t, r.applyCommand(t, FinishOrder{ID: "o-2", State: OrderFailed}).Err())
	require.Equal(t, OrderFailed, r.applyCommand(t, FinishOrder{ID: "o-2", State: OrderDone}).Order.State, "the first outcome is final")
	require.ErrorIs(t, r.applyCommand(t, RecordOrder{ID: "o-3"}).Err(), ErrMalformed)
	r.state.maxOrders = 5
	for i := range r.state.maxOrders + 1 {
		id := fmt.Sprint("n-", i)
		r.applyCommand(t, RecordOrder{ID: id, Target: id})
	}
	orders := r.Orders()
	require.Len(t, orders, r.state.maxOrders)
	require.Equal(t, "n-0", orders[0].ID, "a finished order is evicted")
	require.ErrorIs(t, r.applyCommand(t, RecordOrder{ID: "full", Target: "full"}).Err(), ErrFull)
}
