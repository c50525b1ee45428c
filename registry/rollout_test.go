package registry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newRolloutReplica(t testing.TB) *replica {
	r := newReplica()
	r.applyFleetConfig(t, "fleet", 0, testConfig)
	return r
}

func startOf(version string, base uint64) StartRollout {
	return StartRollout{Service: "engines", Version: version, Duration: 12 * time.Second, Share: 0.05, BaseNumber: base}
}

// Guards against an order that takes effect although it must be rejected, or is rejected
// although it repeats an accepted one.
func TestStartRollout_Rejections(t *testing.T) {
	r := newRolloutReplica(t)
	unknown, long, without, endless := startOf("v2", 0), startOf(strings.Repeat("v", 257), 0), startOf("v2", 0), startOf("v2", 0)
	unknown.Service, without.Duration, endless.Duration = "nobody", 0, 25*time.Hour
	require.ErrorIs(t, r.applyCommand(t, unknown).Err(), ErrUnknown)
	require.ErrorIs(t, r.applyCommand(t, startOf("", 0)).Err(), ErrMalformed)
	require.ErrorIs(t, r.applyCommand(t, long).Err(), ErrMalformed)
	require.ErrorIs(t, r.applyCommand(t, without).Err(), ErrMalformed)
	require.ErrorIs(t, r.applyCommand(t, endless).Err(), ErrMalformed)
	require.Empty(t, r.View().Rollouts)

	first := r.applyCommand(t, startOf("v2", 0))
	require.NoError(t, first.Err())
	revision := r.View().Revision
	require.Equal(t, first, r.applyCommand(t, startOf("v2", 0)), "a repeated order has the same result")
	require.Equal(t, revision, r.View().Revision, "and no effect")
	require.ErrorIs(t, r.applyCommand(t, startOf("v3", first.Version)).Err(), ErrRefused, "another one is in progress")
	require.ErrorIs(t, r.applyCommand(t, startOf("v3", 0)).Err(), ErrConflict, "made before the rollout began")
	step := StepRollout{Service: "engines", Number: first.Version, State: RolloutReverted}
	require.NoError(t, r.applyCommand(t, step).Err())
	require.Equal(t, first, r.applyCommand(t, startOf("v2", 0)), "the order of a reverted rollout is repeated")
	require.Equal(t, RolloutReverted, r.View().Rollouts["engines"].State)

	second := r.applyCommand(t, startOf("v3", first.Version))
	require.NoError(t, second.Err())
	require.NoError(t, r.applyCommand(t, StepRollout{Service: "engines", Number: second.Version, State: RolloutComplete, Share: 1}).Err())
	require.ErrorIs(t, r.applyCommand(t, startOf("v2", second.Version)).Err(), ErrRefused, "a reverted version stays so")
	require.ErrorIs(t, r.applyCommand(t, startOf("v2", first.Version)).Err(), ErrConflict, "a late order has no effect")
}

// Guards against a step that is committed late and undoes a later one, and against counts that
// go back under another leader.
func TestStepRollout_LateStepHasNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplica()
		r.index++
		r.Apply(r.index, 1, EncodeCommand(NumberFleet{Version: 1, Config: []byte(testConfig)}))
		r.index++
		r.Apply(r.index, 1, EncodeCommand(startOf("v2", 0)))
		var late []StepRollout
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := r.View().Rollouts["engines"]
			step := StepRollout{
				Service: "engines", Number: before.Number, BaseStep: before.Step, Share: float64(i) / 30,
				State:   rapid.SampledFrom([]RolloutState{RolloutServing, RolloutServing, RolloutServing, RolloutComplete, RolloutReverted}).Draw(t, "state"),
				Elapsed: time.Duration(rapid.IntRange(0, 100).Draw(t, "elapsed")), Counts: RolloutCounts{Requests: uint64(rapid.IntRange(0, 100).Draw(t, "requests"))},
			}
			isLate := len(late) > 0 && rapid.Bool().Draw(t, "late")
			if isLate {
				step = rapid.SampledFrom(late).Draw(t, "step")
			}
			r.index++
			result, err := DecodeResult(r.Apply(r.index, 1, EncodeCommand(step)))
			require.NoError(t, err)
			after := r.View().Rollouts["engines"]
			if isLate || before.State != RolloutServing {
				require.Equal(t, CodeConflict, result.Code)
				require.Equal(t, before, after)
			} else {
				require.Equal(t, CodeOK, result.Code)
				require.Equal(t, before.Step+1, after.Step)
				require.GreaterOrEqual(t, after.Elapsed, before.Elapsed)
				require.GreaterOrEqual(t, after.Counts.Requests, before.Counts.Requests)
			}
			late = append(late, step)
		}
	})
}

// Guards against forgetting which versions were reverted, and against remembering without end.
func TestRollouts_RevertedVersionsAreRemembered(t *testing.T) {
	r := newRolloutReplica(t)
	last := uint64(0)
	for i := range MaxRevertedVersions + 3 {
		result := r.applyCommand(t, startOf(fmt.Sprint("bad-", i), last))
		require.NoError(t, result.Err())
		last = result.Version
		require.NoError(t, r.applyCommand(t, StepRollout{Service: "engines", Number: last, State: RolloutReverted}).Err())
	}
	rollout := r.View().Rollouts["engines"]
	require.Len(t, rollout.Reverted, MaxRevertedVersions)
	require.True(t, rollout.Forbids(fmt.Sprint("bad-", MaxRevertedVersions+2)))
	require.True(t, rollout.Forbids("bad-2"))
	require.False(t, rollout.Forbids("bad-1"))
}

// Guards against rollouts that are lost in a snapshot, a backup or a delta, and against new
// fields where there is none.
func TestRollouts_AreKeptAndSent(t *testing.T) {
	r := newPopulatedReplica(t)
	snapshot, err := r.Snapshot()
	require.NoError(t, err)
	require.Empty(t, r.state.toWire().Rollouts, "without a rollout the encoding has no new field")
	require.Empty(t, r.DeltaSince(0, 0).Rollouts)
	before := r.View()
	number := r.applyCommand(t, startOf("v2", 0)).Version
	step := StepRollout{
		Service: "engines", Number: number, State: RolloutServing, Share: 0.1, PromptShare: 0.4, Elapsed: time.Second,
		Counts: RolloutCounts{Requests: 100, Exposed: 7, Responses: 6, Failures: 5},
	}
	require.NoError(t, r.applyCommand(t, step).Err())
	decoded, err := DecodeDelta(r.EncodedDeltaSince(before.Revision, before.FleetVersion))
	require.NoError(t, err)
	view, err := decoded.Apply(before)
	require.NoError(t, err)
	require.Equal(t, r.View(), view)
	whole, err := DecodeDelta(r.EncodedDeltaSince(0, 0))
	require.NoError(t, err)
	view, err = whole.Apply(nil)
	require.NoError(t, err)
	require.Equal(t, r.View().Rollouts, view.Rollouts)

	later, err := r.Snapshot()
	require.NoError(t, err)
	require.Greater(t, len(later), len(snapshot))
	other := newReplica()
	require.NoError(t, other.Restore(later))
	require.Equal(t, r.View().Rollouts, other.View().Rollouts)
	backup, err := r.Backup()
	require.NoError(t, err)
	initial, err := NewMachine().SnapshotFromBackup(backup)
	require.NoError(t, err)
	require.NoError(t, other.Restore(initial))
	require.Equal(t, r.View().Rollouts, other.View().Rollouts)
}
