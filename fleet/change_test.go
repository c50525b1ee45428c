package fleet

import (
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDiff_Lines(t *testing.T) {
	before, err := Parse([]byte(smallConfig))
	require.NoError(t, err)
	after, err := Parse([]byte(`{
	"Name": "small",
	"FailureDomains": ["south", "north", "west"],
	"Services": [
		{"Name": "engines", "Kind": "Model", "Model": "m2", "Limits": {"QueueWait": "5s"},
			"Calls": [{"Name": "Ask"}, {"Name": "Tell"}]},
	],
}`))
	require.NoError(t, err)
	var lines []string
	for _, change := range Diff(before, after) {
		lines = append(lines, change.String())
	}
	require.Equal(t, []string{
		"+ FailureDomain west",
		"~ Service engines: Model: m1 -> m2",
		"~ Service engines: Limits.QueueWait: 10s -> 5s",
		"~ Call engines.Ask: Idempotent: true -> false",
		"+ Call engines.Tell",
		"- Service desk",
		"- Workspace rabat",
	}, lines)
	services, workspaces := RemovedNames(before, after)
	require.Equal(t, []string{"desk"}, services)
	require.Equal(t, []string{"rabat"}, workspaces)
}

func TestDiff_NilFleet(t *testing.T) {
	first, err := Parse([]byte(smallConfig))
	require.NoError(t, err)
	require.Empty(t, Diff(nil, nil))
	require.Contains(t, Diff(nil, first), Change{Kind: Added, Part: PartService, Name: "desk"})
	services, _ := RemovedNames(first, nil)
	require.Equal(t, []string{"engines", "desk"}, services)
}

// TestDiff_EveryField changes each field of the domain types in turn.
func TestDiff_EveryField(t *testing.T) {
	fresh := func() *Fleet {
		parsed, err := Parse([]byte(smallConfig))
		require.NoError(t, err)
		return parsed
	}
	count := visitLeaves(reflect.ValueOf(fresh()).Elem(), nil)
	require.Greater(t, count, 30)
	for i := range count {
		changed, n := fresh(), 0
		visitLeaves(reflect.ValueOf(changed).Elem(), func(leaf reflect.Value) {
			if n == i {
				changeValue(leaf)
			}
			n++
		})
		require.NotEmpty(t, Diff(fresh(), changed), "%+v", changed)
	}
	require.Empty(t, Diff(fresh(), fresh()))
}

// visitLeaves visits all values except structs and non-empty lists, and returns their
// number.
func visitLeaves(value reflect.Value, visit func(reflect.Value)) (count int) {
	switch {
	case value.Kind() == reflect.Struct:
		for i := range value.NumField() {
			count += visitLeaves(value.Field(i), visit)
		}
		return count
	case value.Kind() == reflect.Slice && value.Len() > 0:
		for i := range value.Len() {
			count += visitLeaves(value.Index(i), visit)
		}
		return count
	}
	if visit != nil {
		visit(value)
	}
	return 1
}

func changeValue(leaf reflect.Value) {
	switch leaf.Kind() {
	case reflect.String:
		leaf.SetString(leaf.String() + "x")
	case reflect.Bool:
		leaf.SetBool(!leaf.Bool())
	case reflect.Float64:
		leaf.SetFloat(leaf.Float() + 1)
	case reflect.Slice:
		added := reflect.New(leaf.Type().Elem()).Elem()
		if added.Kind() == reflect.String {
			added.SetString("x")
		}
		leaf.Set(reflect.Append(leaf, added))
	default:
		leaf.SetInt(leaf.Int() + 1)
	}
}

// TestParse_RandomDependencyGraphs checks that a dependency graph is rejected if and
// only if a service depends on itself, directly or indirectly.
func TestParse_RandomDependencyGraphs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "services")
		reaches := make([][]bool, n)
		var services []string
		for i := range n {
			reaches[i] = rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "edges")
			var dependencies []string
			for j, depends := range reaches[i] {
				if depends {
					dependencies = append(dependencies, `"s`+string(rune('0'+j))+`"`)
				}
			}
			services = append(services, `{"Name": "s`+string(rune('0'+i))+`", "Kind": "Plain", "DependsOn": [`+
				strings.Join(dependencies, ",")+`], "Calls": [{"Name": "Do"}]}`)
		}
		for k := range n {
			for i := range n {
				for j := range n {
					reaches[i][j] = reaches[i][j] || (reaches[i][k] && reaches[k][j])
				}
			}
		}
		circular := false
		for i := range n {
			circular = circular || reaches[i][i]
		}
		_, err := Parse([]byte(`{"Name": "f", "FailureDomains": ["d"], "Services": [` + strings.Join(services, ",") + `]}`))
		if circular {
			require.ErrorContains(t, err, "in a circle")
		} else {
			require.NoError(t, err)
		}
	})
}
