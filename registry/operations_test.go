package registry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// restart replaces the machine by one restored from its snapshot.
func (r *replica) restart(t require.TestingT) {
	snapshot, err := r.Snapshot()
	require.NoError(t, err)
	r.Machine = NewMachine()
	require.NoError(t, r.Restore(snapshot))
}

func TestTwoOperatorsWithTheSameBase(t *testing.T) {
	r := newReplica()
	require.Equal(t, uint64(1), r.applyText(t, "first", 0, testText).Version)
	winner := strings.Replace(testText, "rabat", "fes", 1)
	require.Equal(t, uint64(2), r.applyText(t, "anna", 1, winner).Version)
	loser := r.applyText(t, "bruno", 1, strings.Replace(testText, "rabat", "oujda", 1))
	require.ErrorIs(t, loser.Err(), ErrConflict)
	require.Equal(t, uint64(2), loser.Version)
	require.Equal(t, uint64(2), loser.ConfigVersion)
	require.Equal(t, winner, string(loser.Config), "the loser sees the winner's text")
	ahead := r.applyText(t, "carla", 3, testText)
	require.ErrorIs(t, ahead.Err(), ErrConflict, "a base that does not exist yet")

	r.applyText(t, "dora", 2, testText)
	for _, restart := range []bool{false, true} {
		if restart {
			r.restart(t)
		}
		require.Equal(t, uint64(2), r.applyText(t, "anna", 1, winner).Version, "the same operation gets the same answer")
		again := r.applyText(t, "bruno", 1, strings.Replace(testText, "rabat", "oujda", 1))
		require.ErrorIs(t, again.Err(), ErrConflict)
		require.Equal(t, uint64(2), again.Version)
		require.Equal(t, uint64(3), again.ConfigVersion)
		still := r.applyText(t, "carla", 3, testText)
		require.ErrorIs(t, still.Err(), ErrConflict, "also when its base has come to exist")
		require.ErrorIs(t, r.applyText(t, "anna", 1, testText).Err(), ErrOperationReused)
		require.Equal(t, uint64(3), r.View().FleetVersion)
	}
}

func TestOperationsAreBoundedAndNeedAnID(t *testing.T) {
	r := newReplica()
	out := func(id string, state bool) Result {
		return r.do(t, SetOutage{Operation: Operation{ID: id}, Target: "target-1", Out: state})
	}
	require.ErrorIs(t, out("", true).Err(), ErrMalformed)
	require.ErrorIs(t, out(strings.Repeat("x", MaxIdentifierBytes+1), true).Err(), ErrMalformed)
	require.NoError(t, out("drain", true).Err())
	require.NoError(t, out("restore", false).Err())
	for i := range MaxOperations - 2 {
		out(fmt.Sprint(i), false)
	}
	require.NoError(t, out("drain", true).Err())
	require.False(t, r.View().TargetsOut["target-1"], "a late copy of a drain must not undo the restore")
	out("one more", false)
	out("drain", true)
	require.True(t, r.View().TargetsOut["target-1"], "the oldest answer is forgotten")
	require.Len(t, r.state.operations.byID, MaxOperations)
}

func TestOutagesAndPins(t *testing.T) {
	r := newReplica()
	r.applyText(t, "fleet", 0, testText)
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
		result := r.do(t, test.command(Operation{ID: test.name}))
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

	refused := r.do(t, ApplyFleet{Operation: Operation{ID: "cut"}, BaseVersion: 1, Config: []byte(textOf(1))})
	require.ErrorIs(t, refused.Err(), ErrInUse, "a pinned target uses the service")
	forced := r.do(t, ApplyFleet{Operation: Operation{ID: "force"}, BaseVersion: 1, Config: []byte(textOf(1)), Force: true})
	require.NoError(t, forced.Err())
	require.Empty(t, r.View().Pins)
	require.Equal(t, map[string]bool{"north": true}, r.View().DomainsOut, "an outage outlives the edit of the text")
	r.do(t, Pin{Operation: Operation{ID: "p"}, Target: "t-2", Service: "s0"})
	require.NoError(t, r.do(t, Pin{Operation: Operation{ID: "u"}, Target: "t-2"}).Err())
	require.Empty(t, r.View().Pins)
}

func TestATextThatRemovesAServiceInUse(t *testing.T) {
	r := newReplica()
	require.ErrorIs(t, r.do(t, Pin{Operation: Operation{ID: "early"}, Target: "t", Service: "s0"}).Err(), ErrUnknown)
	r.applyText(t, "fleet", 0, testText)
	invalid := r.applyText(t, "typo", 1, strings.Replace(testText, "Kind", "Kimd", 1))
	require.ErrorIs(t, invalid.Err(), ErrInvalid)
	require.ErrorContains(t, invalid.Err(), "line 6, column 23: Services[0].Kimd: unknown key")
	many := r.applyText(t, "typos", 1, "{"+strings.Repeat(`"x": 1,`, 40)+"}")
	require.Len(t, many.Faults, MaxResultFaults)
	require.Equal(t, 43-MaxResultFaults, many.MoreFaults, "forty unknown keys and three that are missing")
	require.NoError(t, r.applyText(t, "unused", 1, textOf(1)).Err(), "no host owns a service yet")

	r.open(t, "host-1", "north", 1)
	refused := r.applyText(t, "cut", 2, testText)
	require.ErrorIs(t, refused.Err(), ErrInUse)
	require.ErrorContains(t, refused.Err(), "s0")
	forced := r.do(t, ApplyFleet{Operation: Operation{ID: "force"}, BaseVersion: 2, Config: []byte(testText), Force: true})
	require.Equal(t, uint64(3), forced.Version)
	require.NotContains(t, r.View().Owners, "s0")
	require.Contains(t, r.View().Owners, "engines")
}

// TestAServiceWithUnsettledClaimsIsInUse: its claims must not lose the service
// that they are about.
func TestAServiceWithUnsettledClaimsIsInUse(t *testing.T) {
	r := newReplica()
	r.applyText(t, "fleet", 0, testText)
	session := r.do(t, OpenSession{Host: "host-1", ProcessNonce: 1}).Session
	r.do(t, openTestClaim(session, 1))
	require.ErrorIs(t, r.applyText(t, "cut", 1, textOf(1)).Err(), ErrInUse)
	r.do(t, FinishClaim{Key: testKey, Session: session, Attempt: 1})
	require.NoError(t, r.applyText(t, "cut-2", 1, textOf(1)).Err())
}

func TestOrders(t *testing.T) {
	r := newReplica()
	order := RecordOrder{ID: "o-1", Target: "t-1", Incarnation: 4, Kind: "Load", Service: "engines", Model: "m1", Version: "2", Time: testStart}
	recorded := r.do(t, order)
	require.NoError(t, recorded.Err())
	require.Equal(t, r.index, recorded.Order.Fence)
	again := r.do(t, order)
	require.NoError(t, again.Err())
	require.Equal(t, recorded.Order, again.Order, "recorded once")
	other := order
	other.ID = "o-2"
	busy := r.do(t, other)
	require.ErrorIs(t, busy.Err(), ErrRefused)
	require.Equal(t, "o-1", busy.Order.ID)
	other.Incarnation = 5
	require.NoError(t, r.do(t, other).Err(), "a new incarnation knows nothing of the old order")
	require.ErrorIs(t, r.do(t, FinishOrder{ID: "o-1", State: OrderDone}).Err(), ErrUnknown)
	require.ErrorIs(t, r.do(t, FinishOrder{ID: "o-2", State: OrderPending}).Err(), ErrMalformed)
	require.NoError(t, r.do(t, FinishOrder{ID: "o-2", State: OrderFailed}).Err())
	require.Equal(t, OrderFailed, r.do(t, FinishOrder{ID: "o-2", State: OrderDone}).Order.State, "the first end stands")
	require.ErrorIs(t, r.do(t, RecordOrder{ID: "o-3"}).Err(), ErrMalformed)
	r.state.orderLimit = 5
	for i := range r.state.orderLimit + 1 {
		id := fmt.Sprint("n-", i)
		r.do(t, RecordOrder{ID: id, Target: id})
	}
	orders := r.Orders()
	require.Len(t, orders, r.state.orderLimit)
	require.Equal(t, "n-0", orders[0].ID, "an order that has ended makes room")
	require.ErrorIs(t, r.do(t, RecordOrder{ID: "full", Target: "full"}).Err(), ErrFull)
}
