package registry

import (
	"encoding/binary"
	"reflect"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/fleet"
)

// fillNonZero sets every field of a struct to a non-zero value.
func fillNonZero(value reflect.Value) {
	switch value.Interface().(type) {
	case time.Time:
		value.Set(reflect.ValueOf(testStart))
		return
	case []string:
		value.Set(reflect.ValueOf([]string{"é", "b"}))
		return
	case []fleet.Fault:
		value.Set(reflect.ValueOf([]fleet.Fault{{Line: 1, Column: 2, Path: "p", Message: "m"}}))
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fillNonZero(value.Field(i))
		}
	case reflect.String:
		value.SetString("é" + value.Type().Name())
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Slice:
		value.SetBytes([]byte("bytes"))
	case reflect.Int:
		value.SetInt(418)
	default:
		value.SetUint(1<<63 + 5)
	}
}

var allCommands = []Command{
	OpenSession{},
	CloseSession{},
	MoveOwner{},
	ApplyFleet{},
	SetOutage{},
	Pin{},
	OpenClaim{},
	FinishClaim{},
	CancelClaim{},
	MarkClaimInDoubt{},
	SettleClaim{},
	ExpireClaims{},
	RecordOrder{},
	FinishOrder{},
}

func TestCommand_EncodeRoundTrip(t *testing.T) {
	for _, command := range allCommands {
		filled := reflect.New(reflect.TypeOf(command)).Elem()
		fillNonZero(filled)
		if finish, ok := filled.Addr().Interface().(*FinishClaim); ok {
			finish.Response.Truncated = false
		}
		for _, want := range []Command{filled.Interface().(Command), command} {
			got, err := DecodeCommand(EncodeCommand(want))
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
	}
}

func TestResult_EncodeRoundTrip(t *testing.T) {
	var result Result
	fillNonZero(reflect.ValueOf(&result).Elem())
	got, err := DecodeResult(EncodeResult(result))
	require.NoError(t, err)
	require.Equal(t, result, got)
	for code, want := range codeErrors {
		require.ErrorIs(t, Result{Code: code}.Err(), want)
	}
	require.Error(t, Result{Code: "Odd"}.Err())
}

func TestEncodeCommand_InvalidUTF8(t *testing.T) {
	encoded := EncodeCommand(OpenSession{Host: "\xff"})
	_, err := DecodeCommand(encoded)
	require.ErrorIs(t, err, ErrMalformed)
}

func FuzzDecodeCommand(f *testing.F) {
	for _, command := range allCommands {
		filled := reflect.New(reflect.TypeOf(command)).Elem()
		fillNonZero(filled)
		f.Add(EncodeCommand(filled.Interface().(Command)))
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		command, err := DecodeCommand(encoded)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		again, err := DecodeCommand(EncodeCommand(command))
		require.NoError(t, err)
		require.Equal(t, command, again)
		r := newReplica()
		r.mustOpenSession(t, "host-1", "north", 1)
		r.Apply(r.index+1, 1, encoded)
		r.restart(t)
	})
}

func FuzzDecodeResult(f *testing.F) {
	var result Result
	fillNonZero(reflect.ValueOf(&result).Elem())
	f.Add(EncodeResult(result))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		result, err := DecodeResult(encoded)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		_ = result.Err()
		EncodeResult(result)
	})
}

func FuzzDecodeDelta(f *testing.F) {
	r := newPopulatedReplica(f)
	f.Add(r.DeltaSince(0, 0).Encode())
	view := r.View()
	r.applyFleetConfig(f, "next", 1, testConfig+"\n")
	f.Add(r.DeltaSince(view.Revision, 1).Encode())
	f.Fuzz(func(t *testing.T, encoded []byte) {
		delta, err := DecodeDelta(encoded)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		for _, base := range []*View{nil, view} {
			if next, err := delta.Apply(base); err == nil && base != nil {
				require.GreaterOrEqual(t, next.FleetVersion, base.FleetVersion)
				require.GreaterOrEqual(t, next.Revision, base.Revision)
			}
		}
	})
}

func FuzzRestore(f *testing.F) {
	body, err := marshal(newPopulatedReplica(f).state.toWire())
	require.NoError(f, err)
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		sealed := binary.BigEndian.AppendUint64([]byte(snapshotMagic), xxhash.Sum64(body))
		r := newReplica()
		if err := r.Restore(append(sealed, body...)); err != nil {
			require.ErrorIs(t, err, ErrSnapshot)
			return
		}
		r.index = r.state.applied
		r.applyCommand(t, OpenSession{Host: "host-1", CanOwn: true})
	})
}
