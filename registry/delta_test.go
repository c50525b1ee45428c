package registry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// randomCommand draws a command; most commands can change the view.
func randomCommand(t *rapid.T, r *replica, step int) Command {
	operation := Operation{ID: fmt.Sprint("op-", step), Time: testStart}
	host := rapid.IntRange(0, 5).Draw(t, "host")
	switch rapid.IntRange(0, 10).Draw(t, "command") {
	case 0, 1:
		return OpenSession{
			Host: fmt.Sprint("host-", host), FailureDomain: testDomains[host%3], PeerAddress: "127.0.0.1:7000",
			CanOwn: host < 4, ProcessNonce: rapid.Uint64Range(1, 2).Draw(t, "start"),
		}
	case 2:
		return CloseSession{Session: rapid.Uint64Range(1, r.index+1).Draw(t, "session"), Reason: CloseGraceful}
	case 3, 4:
		config := strings.Replace(plainServicesConfig(rapid.IntRange(1, 5).Draw(t, "services")), `"f"`, fmt.Sprintf(`"f%d"`, step), 1)
		return ApplyFleet{operation, r.View().FleetVersion, []byte(config), rapid.Bool().Draw(t, "force")}
	case 5:
		return SetOutage{Operation: operation, FailureDomain: rapid.SampledFrom(testDomains).Draw(t, "domain"), Out: rapid.Bool().Draw(t, "out")}
	case 6:
		return SetOutage{Operation: operation, Target: fmt.Sprint("t-", host), Out: rapid.Bool().Draw(t, "out")}
	case 7:
		return Pin{operation, fmt.Sprint("t-", host), rapid.SampledFrom([]string{"", "s0", "s1"}).Draw(t, "service")}
	case 8:
		return RecordOrder{ID: fmt.Sprint("o-", step), Target: fmt.Sprint("t-", host), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation")}
	case 9:
		return FinishOrder{ID: fmt.Sprint("o-", rapid.IntRange(0, step).Draw(t, "order")), State: OrderDone}
	}
	return OpenClaim{Key: testKey, Fingerprint: uint64(step), Session: rapid.Uint64Range(1, r.index+1).Draw(t, "session"), Attempt: uint64(step)}
}

// TestReplicasAgree checks that two replicas that apply the same commands have the
// same snapshots, even if one is restored at any point, that versions never
// decrease, and that a delta from any earlier view leads to the current one.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newReplica(), newReplica()
		views := []*View{a.View()}
		followers := []*View{nil, a.View()}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			command := randomCommand(t, a, step)
			changed := a.Changed()
			before := a.View()
			require.Equal(t, a.applyCommand(t, command), b.applyCommand(t, command))
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				b.restart(t)
			}
			snapshotA, err := a.Snapshot()
			require.NoError(t, err)
			snapshotB, err := b.Snapshot()
			require.NoError(t, err)
			require.Equal(t, snapshotA, snapshotB)
			view := a.View()
			require.Equal(t, view, b.View())
			require.GreaterOrEqual(t, view.FleetVersion, before.FleetVersion)
			require.GreaterOrEqual(t, view.OutageVersion, before.OutageVersion)
			if view != before {
				<-changed
				require.Greater(t, view.Revision, before.Revision)
				views = append(views, view)
			}
			source := rapid.SampledFrom([]*replica{a, b}).Draw(t, "source")
			i := rapid.IntRange(0, len(followers)-1).Draw(t, "follower")
			followers[i] = applyDeltaFrom(t, source, followers[i])
			require.Equal(t, view, followers[i])
			old := rapid.SampledFrom(views).Draw(t, "old")
			require.Equal(t, view, applyDeltaFrom(t, source, old))
			if old != view {
				_, err = diffViews(emptyView(), old).Apply(view)
				require.ErrorIs(t, err, ErrStaleDelta, "a view never moves back to an older one")
			}
		}
	})
}

func applyDeltaFrom(t *rapid.T, source *replica, view *View) *View {
	var revision, version uint64
	if view != nil {
		revision, version = view.Revision, view.FleetVersion
	}
	delta := source.DeltaSince(revision, version)
	decoded, err := DecodeDelta(source.EncodedDeltaSince(revision, version))
	require.NoError(t, err)
	if delta.ConfigPatch != nil {
		// The base configuration is only known to the sender and is not encoded.
		patch := *delta.ConfigPatch
		patch.baseConfig = nil
		delta.ConfigPatch = &patch
	}
	require.Equal(t, delta, decoded)
	next, err := decoded.Apply(view)
	require.NoError(t, err)
	return next
}

func TestConfigPatch_ShortConfigs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := []byte(rapid.StringOfN(rapid.SampledFrom([]rune("ab")), 0, 8, -1).Draw(t, "from"))
		to := []byte(rapid.StringOfN(rapid.SampledFrom([]rune("ab")), 0, 8, -1).Draw(t, "to"))
		got, err := newConfigPatch(1, from, to).Apply(1, from)
		require.NoError(t, err)
		require.Equal(t, string(to), string(got))
	})
}

func TestDeltaApply_Mismatch(t *testing.T) {
	r := newReplica()
	r.applyFleetConfig(t, "op-1", 0, testConfig)
	first := r.View()
	r.applyFleetConfig(t, "op-2", 1, strings.Replace(testConfig, "rabat", "fes", 1))
	delta := r.DeltaSince(first.Revision, 1)
	require.Equal(t, "fes", string(delta.ConfigPatch.Middle))
	_, err := delta.Apply(nil)
	require.ErrorIs(t, err, ErrWrongBase)

	other := *first
	other.FleetConfig = []byte(strings.Replace(testConfig, "small", "large", 1))
	_, err = delta.Apply(&other)
	require.ErrorIs(t, err, ErrConfigMismatch, "the host has a different configuration")
	short := *first
	short.FleetConfig = short.FleetConfig[:10]
	_, err = delta.Apply(&short)
	require.ErrorIs(t, err, ErrConfigMismatch)
	later := *first
	later.FleetVersion = 0
	_, err = delta.Apply(&later)
	require.ErrorIs(t, err, ErrConfigMismatch)
	newer := *first
	newer.FleetVersion = 3
	_, err = delta.Apply(&newer)
	require.ErrorIs(t, err, ErrStaleDelta)
	delta.ConfigPatch = nil
	_, err = delta.Apply(first)
	require.ErrorIs(t, err, ErrConfigMismatch)
	require.Equal(t, testConfig, string(first.FleetConfig), "a view is immutable")

	whole := r.DeltaSince(first.Revision, 7)
	require.Zero(t, whole.FromRevision, "an unknown base view results in a whole view")
	next, err := whole.Apply(first)
	require.NoError(t, err)
	require.Equal(t, r.View(), next)
}

func TestHistory_Limits(t *testing.T) {
	r := newReplica()
	first := r.View()
	for i := range maxHistoryViews + 10 {
		r.applyCommand(t, SetOutage{Operation: Operation{ID: fmt.Sprint(i)}, Target: "t", Out: i%2 == 0})
	}
	require.Len(t, r.history.views, maxHistoryViews)
	require.Zero(t, r.DeltaSince(first.Revision+1, 0).FromRevision)
	large := strings.Replace(testConfig, "A small fleet.", strings.Repeat("x", 1<<20), 1)
	for version := range uint64(20) {
		require.NoError(t, r.applyFleetConfig(t, fmt.Sprint("text-", version), version, large).Err())
		large += "\n"
	}
	configBytes := 0
	for _, view := range r.history.views {
		configBytes += len(view.FleetConfig)
	}
	require.LessOrEqual(t, configBytes, maxHistoryConfigBytes)
	require.Equal(t, configBytes, r.history.configBytes)
	require.Greater(t, len(r.history.views), 10)
}

func TestView_PendingOrders(t *testing.T) {
	m := NewMachine()
	before := m.View()
	m.Apply(1, 1, EncodeCommand(RecordOrder{ID: "o1", Target: "engine-1", Incarnation: 1, Kind: "LoadModel", Time: testStart}))
	pending := m.View()
	require.True(t, pending.PendingOrders["engine-1"])
	delta, err := DecodeDelta(m.EncodedDeltaSince(before.Revision, before.FleetVersion))
	require.NoError(t, err)
	followed, err := delta.Apply(nil)
	require.NoError(t, err)
	require.True(t, followed.PendingOrders["engine-1"])

	m.Apply(2, 1, EncodeCommand(FinishOrder{ID: "o1", State: OrderDone, Time: testStart}))
	require.Empty(t, m.View().PendingOrders)
	delta, err = DecodeDelta(m.EncodedDeltaSince(followed.Revision, followed.FleetVersion))
	require.NoError(t, err)
	followed, err = delta.Apply(followed)
	require.NoError(t, err)
	require.Empty(t, followed.PendingOrders)

	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	restored := NewMachine()
	require.NoError(t, restored.Restore(snapshot))
	require.Empty(t, restored.View().PendingOrders)
}
