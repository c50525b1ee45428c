package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const routesConfig = `{
	"Name": "Agence", "FailureDomains": ["a"],
	"Services": [
		{"Name": "Reviews", "Kind": "Plain", "Calls": [{"Name": "Draft"}], "WarmUp": {"ColdPerSecond": 22, "Lasts": "3s"}},
		{"Name": "Treasury", "Kind": "Plain", "Calls": [{"Name": "Pay"}], "Limits": {"Connections": 248}}
	],
	"Workspaces": [{"Name": "Students", "Keys": ["k-1", "k-2"], "Priority": 0}],
	"Requests": {"HeaderBytes": 16384, "HeaderTime": "3s", "IdleTime": "15s"},
	"Routes": [
		{"Name": "r-1", "HostName": "a.example", "PathPrefix": "/x/", "Kind": "Stream", "Resumable": true,
			"Split": [{"Service": "Reviews", "Weight": 9}, {"Service": "Treasury"}], "Timeout": "12s", "Objective": "500ms"},
		{"Name": "r-2", "HostName": "a.example", "PathPrefix": "/x/y/", "Kind": "Once", "Split": [{"Service": "Treasury"}]}
	]
}`

func TestParse_Routes(t *testing.T) {
	parsed, err := Parse([]byte(routesConfig))
	require.NoError(t, err)
	require.Equal(t, RequestLimits{HeaderBytes: 16384, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}, parsed.Requests)
	table := NewTable(parsed)
	require.Equal(t, "r-1", table.Route("a.example:8080", "/x/2f").Name)
	require.Equal(t, "r-2", table.Route("A.example", "/x/y/2f").Name)
	require.Equal(t, "r-1", table.Route("a.example", "/x/z/2f").Name)
	require.Nil(t, table.Route("a.example", "/x"))
	require.Nil(t, table.Route("b.example", "/x/2f"))
	require.Equal(t, "Students", table.Workspace("k-2").Name)
	require.True(t, table.Workspace("k-2").HasPriority)
	require.Nil(t, table.Workspace("k-3"))
	require.InDelta(t, 22, table.Service("Reviews").WarmUp.ColdPerSecond, 0)
	require.Equal(t, 3*time.Second, table.Service("Reviews").WarmUp.Lasts)
	require.True(t, parsed.Routes[0].Retryable())
	require.False(t, parsed.Routes[1].Retryable())
}

func TestCheckRoutes_FaultPaths(t *testing.T) {
	valid := func() *Fleet {
		parsed, err := Parse([]byte(routesConfig))
		require.NoError(t, err)
		return parsed
	}
	require.Empty(t, CheckRoutes(valid()))
	for path, corrupt := range map[string]func(*Fleet){
		"Routes[0].Split[0].Service": func(f *Fleet) { f.Routes[0].Split[0].Service = "Other" },
		"Routes[1].PathPrefix":       func(f *Fleet) { f.Routes[1].PathPrefix = "/x/" },
		"Routes[1].Split":            func(f *Fleet) { f.Routes[1].Split[0].Weight = 0 },
		"Routes[1].Timeout":          func(f *Fleet) { f.Routes[1].Timeout = 0 },
		"Routes[1].Kind":             func(f *Fleet) { f.Routes[1].Kind = "Twice" },
		"Workspaces[1].Keys[0]": func(f *Fleet) {
			f.Workspaces = append(f.Workspaces, Workspace{Name: "Desk", Keys: []string{"k-1"}})
		},
	} {
		f := valid()
		corrupt(f)
		faults := CheckRoutes(f)
		require.Len(t, faults, 1, path)
		require.Equal(t, path, faults[0].Path)
	}
}

// TestServiceFor_FollowsWeights checks that the points of a split are distributed
// over the services in proportion to their weights.
func TestServiceFor_FollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 4).Draw(t, "weights")
		var route Route
		total := 0
		for i, weight := range weights {
			route.Split = append(route.Split, WeightedService{Service: string(rune('a' + i)), Weight: weight})
			total += weight
		}
		counts := map[string]int{}
		for point := range uint64(total) {
			counts[route.ServiceFor(point)]++
		}
		for i, weight := range weights {
			require.Equal(t, weight, counts[string(rune('a'+i))])
		}
	})
}
