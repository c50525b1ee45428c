package fleet

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

const smallConfig = `{
	"Name": "small",
	"FailureDomains": ["north", "south"],
	"Services": [
		{"Name": "engines", "Kind": "Model", "Model": "m1", "Calls": [{"Name": "Ask", "Idempotent": true}]},
		{"Name": "desk", "Kind": "Plain", "DependsOn": ["engines"], "Calls": [{"Name": "Pay"}]},
	],
	"Workspaces": [{"Name": "rabat", "Services": ["desk"]}],
}
`

func TestParse_Defaults(t *testing.T) {
	parsed, err := Parse([]byte(smallConfig))
	require.NoError(t, err)
	desk, _ := parsed.Service("desk")
	require.Equal(t, Limits{InFlightPerTarget: 16, LoadFactor: 1.25, Queue: 64, QueueWait: 10 * time.Second, BodyBytes: 1 << 20}, desk.Limits)
	require.Equal(t, WarmUp{ColdLimit: 1, RampRequests: 32}, desk.WarmUp)
	require.Equal(t, Placement{Spread: 1}, desk.Placement)
	require.Equal(t, Timeouts{FirstByte: 30 * time.Second, Gap: 10 * time.Second, Total: 10 * time.Minute}, desk.Timeouts)
	require.Equal(t, Store{ConcurrentLoads: 2, BytesPerSecond: 1 << 30}, parsed.Store)
	require.Equal(t, 1, parsed.Workspaces[0].Share)
	pay, _ := desk.Call("Pay")
	require.False(t, pay.Idempotent, "a call is idempotent only if the configuration sets it so")
}

func TestParse_Faults(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     string
	}{
		{"syntax", `"Name": "small",`, `"Name" "small",`, `line 2, column 9: not JSON with comments`},
		{"not UTF-8", `"small"`, "\"\xff\"", `line 2, column 11: this byte is not UTF-8`},
		{"unknown key", `"rabat", "Services"`, `"rabat", "Servces"`, `line 8, column 35: Workspaces[0].Servces: unknown key; accepted are Name, Share, Services`},
		{"missing key", `"Name": "small",`, ``, `line 1, column 1: Name: this key is missing`},
		{"key twice", `"Name": "small",`, `"Name": "small", "Name": "small",`, `line 2, column 19: Name: this key stands twice`},
		{"wrong type", `"Name": "small"`, `"Name": 7`, `Name: this is a number; accepted is a name in double quotes`},
		{"not a name", `"small"`, `"a b"`, `Name: "a b" is not a name; accepted are 1 to 64 letters`},
		{"wrong unit", `"Plain",`, `"Plain", "Limits": {"QueueWait": "5 parsecs"},`, `Services[1].Limits.QueueWait: 5 parsecs is not accepted; accepted is a duration with its unit`},
		{"no unit", `"Plain",`, `"Plain", "Limits": {"QueueWait": 5},`, `Services[1].Limits.QueueWait: this is a number; accepted is a duration`},
		{"load factor", `"Plain",`, `"Plain", "Limits": {"LoadFactor": 0.9},`, `Services[1].Limits.LoadFactor: 0.9 is out of range; accepted is a number from 1 to 100`},
		{"not a number", `"Plain",`, `"Plain", "Limits": {"Queue": 1.5},`, `Services[1].Limits.Queue: 1.5 is out of range; accepted is a whole number`},
		{"cold limit", `"Plain",`, `"Plain", "WarmUp": {"ColdLimit": 17},`, `Services[1].WarmUp.ColdLimit: 17 is more than InFlightPerTarget 16`},
		{"queue wait", `"Plain",`, `"Plain", "Limits": {"QueueWait": "10m"},`, `Services[1].Limits.QueueWait: 10m0s leaves nothing of Timeouts.Total`},
		{"first byte", `"Plain",`, `"Plain", "Timeouts": {"FirstByte": "11m"},`, `Services[1].Timeouts.FirstByte: 11m0s is more than Timeouts.Total`},
		{"gap", `"Plain",`, `"Plain", "Timeouts": {"Gap": "11m"},`, `Services[1].Timeouts.Gap: 11m0s is more than Timeouts.Total`},
		{"min and max", `"Plain",`, `"Plain", "Placement": {"Min": 3, "Max": 2},`, `Services[1].Placement.Min: 3 is more than Max 2`},
		{"spread", `"Plain",`, `"Plain", "Placement": {"Spread": 3},`, `Services[1].Placement.Spread: 3 is more than the 2 failure domains`},
		{"spread and max", `"Plain",`, `"Plain", "Placement": {"Spread": 2, "Max": 1},`, `2 failure domains cannot be used by at most 1 replicas`},
		{"role", `"Model": "m1",`, `"Model": "m1", "Placement": {"Role": "Chief"},`, `Services[0].Placement.Role: "Chief" is not a role`},
		{"role of a plain service", `"Plain",`, `"Plain", "Placement": {"Role": "Decode"},`, `only a service of the kind Model has a role`},
		{"kind", `"Plain"`, `"plain"`, `Services[1].Kind: "plain" is not a kind of service; accepted are "Model" and "Plain"`},
		{"no model", `"Model": "m1", `, ``, `Services[0].Model: no model`},
		{"model of a plain service", `"Plain",`, `"Plain", "Model": "m1",`, `a service of the kind Plain has no Model`},
		{"no calls", `[{"Name": "Pay"}]`, `[]`, `Services[1].Calls: no call`},
		{"calls missing", `, "Calls": [{"Name": "Pay"}]`, ``, `Services[1].Calls: this key is missing`},
		{"call twice", `{"Name": "Pay"}`, `{"Name": "Pay"}, {"Name": "Pay"}`, `Services[1].Calls[1].Name: the call "Pay" stands twice`},
		{"service twice", "\t],\n", `{"Name": "desk", "Kind": "Plain", "Calls": [{"Name": "Pay"}]}],`, `Services[2].Name: the service "desk" stands twice`},
		{"domain twice", `"north", "south"`, `"north", "north"`, `FailureDomains[1]: the failure domain "north" stands twice`},
		{"no domains", `["north", "south"]`, `[]`, `FailureDomains: no failure domain`},
		{"workspace twice", `{"Name": "rabat", "Services": ["desk"]}`, `{"Name": "rabat"}, {"Name": "rabat"}`, `Workspaces[1].Name: the workspace "rabat" stands twice`},
		{"workspace's service", `["desk"]`, `["dsk"]`, `Workspaces[0].Services[0]: there is no service "dsk"`},
		{"missing dependency", `["engines"]`, `["engine"]`, `Services[1].DependsOn[0]: there is no service "engine"`},
		{"cycle", `"Model": "m1",`, `"Model": "m1", "DependsOn": ["desk"],`, `services depend on each other in a circle: engines -> desk -> engines`},
		{"cycle of one", `["engines"]`, `["desk"]`, `Services[1].DependsOn[0]: services depend on each other in a circle: desk -> desk`},
		{"nesting", `"small"`, strings.Repeat("[", 17), `nested too deep; accepted are at most 16 levels`},
		{"size", `"small"`, strings.Repeat(" ", MaxConfigBytes), `accepted are at most 4194304`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := strings.Replace(smallConfig, test.old, test.new, 1)
			require.NotEqual(t, smallConfig, config)
			_, err := Parse([]byte(config))
			require.ErrorIs(t, err, ErrInvalid)
			require.ErrorContains(t, err, test.want)
			var faults *Faults
			require.True(t, errors.As(err, &faults))
			require.Len(t, faults.All, 1, "one fault is reported once: %s", err)
		})
	}
}

func TestParse_ReportsAllFaults(t *testing.T) {
	config := `{
	"FailureDomains": ["north"],
	"Services": [
		{"Name": "a", "Kind": "Model", "Calls": [{"Name": "Ask", "Idempotent": "yes"}]},
		{"Name": "b", "Kind": "Plain", "DependsOn": ["c"], "Calls": [{"Name": "Pay"}], "Limits": {"Quue": 1}},
	],
}`
	_, err := Parse([]byte(config))
	var faults *Faults
	require.True(t, errors.As(err, &faults))
	var got []string
	for _, fault := range faults.All {
		got = append(got, fault.Path)
	}
	require.Equal(t, []string{"Name", "Services[0].Model", "Services[0].Calls[0].Idempotent", "Services[1].DependsOn[0]", "Services[1].Limits.Quue"}, got)
}

// TestParse_OmitsConsequentialFaults checks that an unreadable value is reported once,
// without faults that are only a consequence of it.
func TestParse_OmitsConsequentialFaults(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"kind", `"Plain"`, `7`, []string{"Services[1].Kind"}},
		{"a key that begins like another", `"Plain"`, `"odd", "Kindly": 1`, []string{"Services[1].Kind", "Services[1].Kindly"}},
		{"name of a service", `"Name": "engines"`, `"Name": 7`, []string{"Services[0].Name"}},
		{"two names", `{"Name": "Pay"}`, `{}, {}`, []string{"Services[1].Calls[0].Name", "Services[1].Calls[1].Name"}},
		{"services", "\"Services\": [\n", `"Services": 7, "Workspaces": [{"Name": "x", "Services": ["desk"]}]}//`, []string{"Services"}},
		{"failure domains", `["north", "south"]`, `[7]`, []string{"FailureDomains[0]"}},
		{"calls", `, "Calls": [{"Name": "Pay"}]`, ``, []string{"Services[1].Calls"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := strings.Replace(smallConfig, test.old, test.new, 1)
			require.NotEqual(t, smallConfig, config)
			if test.name == "services" {
				config = config[:strings.Index(config, "//")]
			}
			_, err := Parse([]byte(config))
			var faults *Faults
			require.True(t, errors.As(err, &faults), "%v", err)
			var got []string
			for _, fault := range faults.All {
				got = append(got, fault.Path)
			}
			require.Equal(t, test.want, got, "%v", err)
		})
	}
}

func TestParse_BoundsFaults(t *testing.T) {
	const keys = MaxConfigBytes/6 - 1
	config := "{" + strings.Repeat(`"x":1,`, keys) + "}"
	_, err := Parse([]byte(config))
	var faults *Faults
	require.True(t, errors.As(err, &faults))
	require.Len(t, faults.All, 100)
	const missing = 3
	require.Equal(t, keys+missing-len(faults.All), faults.Omitted)

	_, err = Parse([]byte(`{"` + strings.Repeat("é", 1<<20) + `": 1}`))
	require.True(t, errors.As(err, &faults))
	for _, fault := range faults.All {
		require.Less(t, len(fault.Path)+len(fault.Message), 1000)
	}
}

func TestParse_ExampleFiles(t *testing.T) {
	tests := []struct {
		file                      string
		engines, plain            int
		notIdempotent, idempotent string
	}{
		{"agence", 9, 3, "ReleasePayment", "CheckBalance"},
		{"vernici", 18, 3, "FileProposal", "LookUpApproval"},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			config, err := os.ReadFile("../examples/" + test.file + ".fleet.jsonc")
			require.NoError(t, err)
			parsed, err := Parse(config)
			require.NoError(t, err)
			require.Len(t, parsed.FailureDomains, 3)
			require.Len(t, parsed.Workspaces, 10)
			minTargets, maxTargets := map[string]int{}, map[string]int{}
			for _, service := range parsed.Services {
				minTargets[service.Kind] += service.Placement.Min
				maxTargets[service.Kind] += service.Placement.Max
				for _, call := range service.Calls {
					require.Equal(t, call.Name != test.notIdempotent, call.Idempotent, call.Name)
				}
			}
			require.LessOrEqual(t, minTargets[KindModel], test.engines)
			require.GreaterOrEqual(t, maxTargets[KindModel], test.engines)
			require.Equal(t, test.plain, minTargets[KindPlain])
			formatted, err := Format(config)
			require.NoError(t, err)
			require.True(t, bytes.Equal(config, formatted), "the examples are in canonical form; want:\n%s", formatted)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallConfig))
	f.Add([]byte(`{"Services": [{"DependsOn": ["a"]}, 7, null]}`))
	f.Add([]byte(`{"Name": "\ud800", /* */ "Name": [[[[]]]]}`))
	f.Fuzz(func(t *testing.T, config []byte) {
		parsed, err := Parse(config)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return
		}
		input := bytes.Clone(config)
		formatted, err := Format(config)
		require.NoError(t, err)
		require.Equal(t, input, config, "the input is not modified")
		again, err := Parse(formatted)
		require.NoError(t, err)
		require.Equal(t, parsed, again)
		twice, err := Format(formatted)
		require.NoError(t, err)
		require.Equal(t, string(formatted), string(twice))
	})
}
