package registry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pgregory.net/rapid"

	"comfreytiller.dev/fleet"
)

func TestNumberFleet_HighestVersionWins(t *testing.T) {
	r := newReplica()
	other := strings.Replace(testConfig, "rabat", "fes", 1)
	require.NoError(t, r.applyCommand(t, NumberFleet{Version: 7, Config: []byte(testConfig)}).Err())
	require.NoError(t, r.applyCommand(t, NumberFleet{Version: 7, Config: []byte(testConfig)}).Err(), "retry")
	require.ErrorIs(t, r.applyCommand(t, NumberFleet{Version: 7, Config: []byte(other)}).Err(), ErrConflict)
	require.ErrorIs(t, r.applyCommand(t, NumberFleet{Version: 9, Config: []byte("{")}).Err(), ErrInvalid)
	require.ErrorIs(t, r.applyCommand(t, NumberFleet{Config: []byte(other)}).Err(), ErrMalformed)
	require.Equal(t, uint64(7), r.View().FleetVersion)
	require.NoError(t, r.applyCommand(t, NumberFleet{Version: 11, Config: []byte(other)}).Err())
	require.NoError(t, r.applyCommand(t, NumberFleet{Version: 7, Config: []byte(testConfig)}).Err(), "an older version succeeds without effect")
	require.Equal(t, uint64(11), r.View().FleetVersion)
	require.Equal(t, other, string(r.View().FleetConfig))
}

func TestNumberFleet_CompressesLongConfig(t *testing.T) {
	long := []byte(strings.Replace(testConfig, "A small fleet.", strings.Repeat("long ", 1<<12), 1))
	encoded := EncodeCommand(NumberFleet{Version: 3, Config: long})
	require.Less(t, len(encoded), len(long)/4)
	decoded, err := DecodeCommand(encoded)
	require.NoError(t, err)
	require.Equal(t, NumberFleet{Version: 3, Config: long}, decoded)

	r := newReplica()
	require.NoError(t, r.applyCommand(t, NumberFleet{Version: 3, Config: long}).Err())
	delta := r.EncodedDeltaSince(0, 0)
	require.Less(t, len(delta), len(long)/4)
	decodedDelta, err := DecodeDelta(delta)
	require.NoError(t, err)
	view, err := decodedDelta.Apply(nil)
	require.NoError(t, err)
	require.Equal(t, long, view.FleetConfig)
}

// TestWithFleetParser_CustomFormat: a cluster may use another format for its fleet
// configuration.
func TestWithFleetParser_CustomFormat(t *testing.T) {
	parse := func(config []byte) (*fleet.Fleet, error) {
		if len(config) == 0 {
			return nil, fleet.ErrInvalid
		}
		return &fleet.Fleet{Name: string(config)}, nil
	}
	machine := NewMachine(WithFleetParser(parse))
	machine.Apply(1, 1, EncodeCommand(NumberFleet{Version: 2, Config: []byte("west")}))
	require.Equal(t, "west", machine.View().Fleet.Name)
	snapshot, err := machine.Snapshot()
	require.NoError(t, err)
	restored := NewMachine(WithFleetParser(parse))
	require.NoError(t, restored.Restore(snapshot))
	require.Equal(t, "west", restored.View().Fleet.Name)
	delta := machine.DeltaSince(0, 0)
	view, err := delta.ApplyWithParser(nil, parse)
	require.NoError(t, err)
	require.Equal(t, "west", view.Fleet.Name)
	_, err = delta.Apply(nil)
	require.ErrorIs(t, err, ErrConfigMismatch)

	// A backup is restored with the parser of the cluster, not with the default one.
	backup, err := machine.Backup()
	require.NoError(t, err)
	snapshot, err = NewMachine(WithFleetParser(parse)).SnapshotFromBackup(backup)
	require.NoError(t, err)
	fromBackup := NewMachine(WithFleetParser(parse))
	require.NoError(t, fromBackup.Restore(snapshot))
	require.Equal(t, "west", fromBackup.View().Fleet.Name)
	_, err = NewMachine().SnapshotFromBackup(backup)
	require.ErrorIs(t, err, ErrBackup)
}

// TestConfigPatch_SmallChangeOfLargeConfig: the delta of a small change of a large
// configuration must be small, even if both the version at the beginning and a
// distant route change.
func TestConfigPatch_SmallChangeOfLargeConfig(t *testing.T) {
	var large strings.Builder
	for i := range 4000 {
		fmt.Fprintf(&large, "route r-%x at /%x/ for %d;", i*7919, i*104729, i%13)
	}
	before := []byte(large.String())
	after := []byte("v2 " + strings.Replace(large.String(), "route r-2d3f1b3", "route other", 1) + " and one more")
	patch := newConfigPatch(1, before, after)
	delta := Delta{ToRevision: 2, FleetVersion: 2, ConfigPatch: &patch}
	encoded := delta.Encode()
	require.Greater(t, len(after), 100_000)
	require.Less(t, len(encoded), len(after)/30)
	decoded, err := DecodeDelta(encoded)
	require.NoError(t, err)
	config, err := decoded.ConfigPatch.Apply(1, before)
	require.NoError(t, err)
	require.Equal(t, after, config)
	_, err = decoded.ConfigPatch.Apply(1, []byte(strings.ToUpper(string(before))))
	require.ErrorIs(t, err, ErrConfigMismatch, "patch for another base configuration")
}

func TestConfigPatch_AnyConfigs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) []byte {
			parts := rapid.SliceOfN(rapid.SampledFrom([]string{"alpha", "beta", "gamma", "x"}), 0, 20).Draw(t, name)
			return []byte(strings.Repeat(strings.Join(parts, ","), rapid.IntRange(1, 800).Draw(t, name+" times")))
		}
		before, after := draw("before"), draw("after")
		patch := newConfigPatch(1, before, after)
		decoded, err := DecodeDelta(Delta{ToRevision: 2, FleetVersion: 2, ConfigPatch: &patch}.Encode())
		require.NoError(t, err)
		config, err := decoded.ConfigPatch.Apply(1, before)
		require.NoError(t, err)
		require.Equal(t, string(after), string(config))
	})
}
