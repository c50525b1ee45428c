package settings

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"comfreytiller.dev/common/jsonc"
)

// Limits of the settings.
const (
	maxConfigBytes  = 1 << 20
	maxNesting      = 8
	maxReplicas     = 16
	maxDrainTimeout = 24 * time.Hour
	minKeyBytes     = 16
	maxTolerates    = 3
	// maxBandwidth is the highest Bandwidth, in Mbit/s.
	maxBandwidth = 1_000_000
	// maxMemory is the highest Memory, in MB.
	maxMemory      = 1 << 24
	maxDescriptors = 1 << 24
	maxRetryExtra  = 1_000_000
	maxFeatures    = 64
	// maxExposedExtra is the highest Rollouts.ExposedExtra; minRevertWithin and maxRevertWithin
	// bound Rollouts.RevertWithin.
	maxExposedExtra = 1_000_000
	minRevertWithin = 100 * time.Millisecond
	maxRevertWithin = time.Hour
)

// Default values.
const (
	defaultLevel  = "info"
	defaultFormat = "text"
	// defaultRetryShare and defaultRetryWindow match the defaults of the gateway.
	defaultRetryShare  = 0.1
	defaultRetryWindow = 10 * time.Second
	// The defaults of Rollouts are what callers of the larger fleets accept.
	defaultExposedShare = 0.1
	defaultExposedExtra = 50
	defaultRevertWithin = 5 * time.Second
)

// Values of Log.Output.
const (
	OutputStderr = "stderr"
	OutputStdout = "stdout"
)

// Load reads and validates the settings in a file. Invalid settings are reported
// as a *jsonc.Faults, wrapped with the file name.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrapf(err, "read settings %s", file)
	}
	parsed, err := Parse(data)
	if err != nil {
		return nil, errors.Wrapf(err, "settings %s", file)
	}
	return parsed, nil
}

// Parse parses and validates settings, including the key files and the data
// directory that they refer to. It returns a *jsonc.Faults if they are invalid.
func Parse(data []byte) (*Settings, error) {
	r := &jsonc.Reader{Source: data}
	root, ok := r.Parse(jsonc.Limits{MaxBytes: maxConfigBytes, MaxDepth: maxNesting})
	if !ok {
		return nil, jsonc.NewFaults(r.Faults)
	}
	parsed := &Settings{
		OwnsServices: true,
		Role:         RoleWhole,
		Log:          Log{Level: defaultLevel, Format: defaultFormat, Output: OutputStderr},
		Retries:      Retries{Share: defaultRetryShare, Window: defaultRetryWindow},
	}
	readSettings(r, root, parsed)
	checkRole(r, root, parsed)
	if len(r.Faults) > 0 {
		return nil, jsonc.NewFaults(r.Faults)
	}
	return parsed, nil
}

func readSettings(r *jsonc.Reader, root *hujson.Value, into *Settings) {
	r.Object(
		root, nil,
		jsonc.Field{Name: "Host", Required: true, Read: jsonc.Name(r, &into.Host)},
		jsonc.Field{Name: "FailureDomain", Required: true, Read: jsonc.Name(r, &into.FailureDomain)},
		jsonc.Field{Name: "Callers", Required: true, Read: address(r, &into.Callers)},
		jsonc.Field{Name: "Peers", Required: true, Read: address(r, &into.Peers)},
		jsonc.Field{Name: "Admin", Required: true, Read: address(r, &into.Admin)},
		jsonc.Field{Name: "Role", Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			role := ""
			oneOf(r, &role, string(RoleWhole), string(RoleEntry), string(RoleState))(value, at)
			into.Role = Role(role)
		}},
		jsonc.Field{Name: "Protocol", Read: jsonc.Name(r, &into.Protocol)},
		jsonc.Field{Name: "KeyFile", Read: keyFile(r, &into.KeyFile)},
		jsonc.Field{Name: "TrustNetwork", Read: jsonc.Boolean(r, &into.TrustNetwork)},
		jsonc.Field{Name: "TargetKeyFile", Read: keyFile(r, &into.TargetKeyFile)},
		jsonc.Field{Name: "StateReplicas", Required: true, Read: addresses(r, &into.StateReplicas)},
		jsonc.Field{Name: "OwnsServices", Read: jsonc.Boolean(r, &into.OwnsServices)},
		jsonc.Field{Name: "State", Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			into.State = readState(r, value, at)
		}},
		jsonc.Field{Name: "Log", Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			readLog(r, value, at, &into.Log)
		}},
		jsonc.Field{Name: "Pprof", Read: jsonc.Boolean(r, &into.Pprof)},
		jsonc.Field{Name: "DrainTimeout", Read: jsonc.Duration(r, &into.DrainTimeout, 0, maxDrainTimeout)},
		jsonc.Field{Name: "Retries", Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			readRetries(r, value, at, &into.Retries)
		}},
		jsonc.Field{Name: "Features", Read: features(r, &into.Features)},
		jsonc.Field{Name: "Bandwidth", Read: jsonc.Number(r, &into.Bandwidth, 0, maxBandwidth)},
		jsonc.Field{Name: "Rollouts", Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			into.Rollouts = readRollouts(r, value, at)
		}},
		jsonc.Field{Name: "Memory", Read: jsonc.Integer(r, &into.Memory, 0, maxMemory)},
		jsonc.Field{Name: "Descriptors", Read: jsonc.Integer(r, &into.Descriptors, 0, maxDescriptors)},
	)
}

func readState(r *jsonc.Reader, value *hujson.Value, at *jsonc.FieldPath) *State {
	state := &State{}
	r.Object(
		value, at,
		jsonc.Field{Name: "Folder", Required: true, Read: directory(r, &state.Folder)},
		jsonc.Field{Name: "Cluster", Required: true, Read: jsonc.Name(r, &state.Cluster)},
		jsonc.Field{Name: "Tolerates", Read: jsonc.Integer(r, &state.Tolerates, 0, maxTolerates)},
		jsonc.Field{Name: "First", Read: jsonc.Boolean(r, &state.First)},
	)
	return state
}

func readLog(r *jsonc.Reader, value *hujson.Value, at *jsonc.FieldPath, into *Log) {
	r.Object(
		value, at,
		jsonc.Field{Name: "Level", Read: oneOf(r, &into.Level, "debug", "info", "warning", "error")},
		jsonc.Field{Name: "Format", Read: oneOf(r, &into.Format, "text", "json")},
		jsonc.Field{Name: "Output", Read: oneOf(r, &into.Output, OutputStderr, OutputStdout)},
	)
}

func readRetries(r *jsonc.Reader, value *hujson.Value, at *jsonc.FieldPath, into *Retries) {
	r.Object(
		value, at,
		jsonc.Field{Name: "Share", Read: jsonc.Number(r, &into.Share, 0, 1)},
		jsonc.Field{Name: "Extra", Read: jsonc.Integer(r, &into.Extra, 0, maxRetryExtra)},
		jsonc.Field{Name: "Window", Read: jsonc.Duration(r, &into.Window, time.Second, maxDrainTimeout)},
	)
}

func readRollouts(r *jsonc.Reader, value *hujson.Value, at *jsonc.FieldPath) *Rollouts {
	rollouts := &Rollouts{ExposedShare: defaultExposedShare, ExposedExtra: defaultExposedExtra, RevertWithin: defaultRevertWithin}
	r.Object(
		value, at,
		jsonc.Field{Name: "ExposedShare", Read: jsonc.Number(r, &rollouts.ExposedShare, 0, 1)},
		jsonc.Field{Name: "ExposedExtra", Read: jsonc.Integer(r, &rollouts.ExposedExtra, 0, maxExposedExtra)},
		jsonc.Field{Name: "RevertWithin", Read: jsonc.Duration(r, &rollouts.RevertWithin, minRevertWithin, maxRevertWithin)},
	)
	return rollouts
}

// checkRole reports keys that are missing or not allowed in the role.
func checkRole(r *jsonc.Reader, root *hujson.Value, parsed *Settings) {
	if len(r.Faults) > 0 {
		return
	}
	if parsed.KeyFile == "" && (!parsed.TrustNetwork || parsed.Role == RoleWhole) {
		r.Faultf(root.StartOffset, "KeyFile", "this key is required, except in the roles Entry and State with TrustNetwork")
	}
	if parsed.Role == RoleState && parsed.State == nil {
		r.Faultf(root.StartOffset, "State", "this key is required in the role State, which keeps a state replica")
	}
	if parsed.Role == RoleWhole && parsed.Rollouts != nil {
		r.Faultf(root.StartOffset, "Rollouts", "this key is not allowed in the role Whole, which has no rollouts")
	}
	if parsed.Role == RoleEntry && parsed.State != nil {
		r.Faultf(root.StartOffset, "State", "this key is not allowed in the role Entry, which has no state replica")
	}
}

// validatedString reads a string and reports the problem that check returns, if
// any.
func validatedString(r *jsonc.Reader, into *string, check func(string) string) func(*hujson.Value, *jsonc.FieldPath) {
	return func(value *hujson.Value, at *jsonc.FieldPath) {
		faults := len(r.Faults)
		jsonc.String(r, into)(value, at)
		if len(r.Faults) > faults {
			return
		}
		if problem := check(*into); problem != "" {
			r.Faultf(value.StartOffset, at.String(), "%s", problem)
		}
	}
}

// address reads an IP:port. Host names are not accepted, since hosts connect to
// each other by IP address.
func address(r *jsonc.Reader, into *string) func(*hujson.Value, *jsonc.FieldPath) {
	return validatedString(r, into, func(addrPort string) string {
		parsed, err := netip.ParseAddrPort(addrPort)
		if err != nil || parsed.Port() == 0 {
			return "\"" + addrPort + "\" is not an address; expected IP:port, such as \"127.0.0.1:8080\""
		}
		return ""
	})
}

func addresses(r *jsonc.Reader, into *[]string) func(*hujson.Value, *jsonc.FieldPath) {
	return func(value *hujson.Value, at *jsonc.FieldPath) {
		r.List(value, at, maxReplicas, func(value *hujson.Value, at *jsonc.FieldPath) {
			var element string
			address(r, &element)(value, at)
			*into = append(*into, element)
		})
		if len(*into) == 0 {
			r.Faultf(value.StartOffset, at.String(), "the list is empty; expected at least one IP:port")
		}
	}
}

// features reads the names of features. A deployment without any may have null.
func features(r *jsonc.Reader, into *[]string) func(*hujson.Value, *jsonc.FieldPath) {
	return func(value *hujson.Value, at *jsonc.FieldPath) {
		if literal, ok := value.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
			return
		}
		r.List(value, at, maxFeatures, func(value *hujson.Value, at *jsonc.FieldPath) {
			var name string
			jsonc.String(r, &name)(value, at)
			*into = append(*into, name)
		})
	}
}

func keyFile(r *jsonc.Reader, into *string) func(*hujson.Value, *jsonc.FieldPath) {
	return validatedString(r, into, func(file string) string {
		key, err := ReadKey(file)
		if err != nil {
			return "cannot read the key: " + err.Error()
		}
		if len(key) < minKeyBytes {
			return "the key is too short; expected at least 16 bytes"
		}
		return ""
	})
}

func directory(r *jsonc.Reader, into *string) func(*hujson.Value, *jsonc.FieldPath) {
	return validatedString(r, into, func(path string) string {
		info, err := os.Stat(path)
		if err != nil {
			return "cannot open the data folder: " + err.Error() + "; expected an existing folder"
		}
		if !info.IsDir() {
			return "\"" + path + "\" is not a folder; expected an existing folder"
		}
		return ""
	})
}

func oneOf(r *jsonc.Reader, into *string, accepted ...string) func(*hujson.Value, *jsonc.FieldPath) {
	return validatedString(r, into, func(value string) string {
		if slices.Contains(accepted, value) {
			return ""
		}
		return "\"" + value + "\" is unknown; expected one of " + strings.Join(accepted, ", ")
	})
}

// ReadKey returns the key in a file without leading and trailing white space.
func ReadKey(file string) ([]byte, error) {
	key, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrapf(err, "read key %s", file)
	}
	return []byte(strings.TrimSpace(string(key))), nil
}
