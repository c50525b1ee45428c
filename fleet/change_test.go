package fleet

import (
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDiffReadsWell(t *testing.T) {
	before, err := Parse([]byte(smallText))
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

func TestDiffFromNothing(t *testing.T) {
	first, err := Parse([]byte(smallText))
	require.NoError(t, err)
	require.Empty(t, Diff(nil, nil))
	require.Contains(t, Diff(nil, first), Change{Kind: Added, Part: PartService, Name: "desk"})
	services, _ := RemovedNames(first, nil)
	require.Equal(t, []string{"engines", "desk"}, services)
}

// TestDiffSeesEveryField changes each field of the domain types in turn.
func TestDiffSeesEveryField(t *testing.T) {
	fresh := func() *Fleet {
		parsed, err := Parse([]byte(smallText))
		require.NoError(t, err)
		return parsed
	}
	count := leaves(reflect.ValueOf(fresh()).Elem(), nil)
	require.Greater(t, count, 30)
	for i := range count {
		changed, n := fresh(), 0
		leaves(reflect.ValueOf(changed).Elem(), func(leaf reflect.Value) {
			if n == i {
				alter(leaf)
			}
			n++
		})
		require.NotEmpty(t, Diff(fresh(), changed), "%+v", changed)
	}
	require.Empty(t, Diff(fresh(), fresh()))
}

// leaves visits the values that are no struct or list, and empty lists.
func leaves(value reflect.Value, visit func(reflect.Value)) (count int) {
	switch {
	case value.Kind() == reflect.Struct:
		for i := range value.NumField() {
			count += leaves(value.Field(i), visit)
		}
		return count
	case value.Kind() == reflect.Slice && value.Len() > 0:
		for i := range value.Len() {
			count += leaves(value.Index(i), visit)
		}
		return count
	}
	if visit != nil {
		visit(value)
	}
	return 1
}

func alter(leaf reflect.Value) {
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

// TestDependenciesOfRandomGraphs compares the check with the definition: a
// graph is refused if and only if some service reaches itself.
func TestDependenciesOfRandomGraphs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "services")
		reaches := make([][]bool, n)
		var services []string
		for i := range n {
			reaches[i] = rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "edges")
			var needed []string
			for j, depends := range reaches[i] {
				if depends {
					needed = append(needed, `"s`+string(rune('0'+j))+`"`)
				}
			}
			services = append(services, `{"Name": "s`+string(rune('0'+i))+`", "Kind": "Plain", "DependsOn": [`+
				strings.Join(needed, ",")+`], "Calls": [{"Name": "Do"}]}`)
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
