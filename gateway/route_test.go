package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/fleet"
)

// The lowest priority value of a route goes first, the highest of a call. Without the
// conversion, an owner's queue serves the least urgent routes first.
func TestResolveRoute_UrgentRouteHasHigherCallPriority(t *testing.T) {
	config, err := fleet.Parse([]byte(`{
		"Name": "Agence", "FailureDomains": ["a"],
		"Services": [{"Name": "s", "Kind": "Plain", "Calls": [{"Name": "Pay"}]}],
		"Workspaces": [{"Name": "w", "Keys": ["key"], "Priority": 2}, {"Name": "v", "Keys": ["plain"]}],
		"Routes": [
			{"Name": "urgent", "HostName": "h", "PathPrefix": "/urgent/", "Kind": "Once", "Timeout": "1s", "Priority": 0, "Split": [{"Service": "s"}]},
			{"Name": "later", "HostName": "h", "PathPrefix": "/later/", "Kind": "Once", "Timeout": "1s", "Priority": 3, "Split": [{"Service": "s"}]}]}`))
	require.NoError(t, err)
	table := fleet.NewTable(config)
	resolve := func(path, key string) int {
		r := &Request{}
		require.Nil(t, ResolveRoute(r, table, RouteQuery{HostName: "h", Path: path, APIKey: key}))
		return r.Call.Priority
	}
	require.Greater(t, resolve("/urgent/", "plain"), resolve("/later/", "plain"))
	require.Greater(t, resolve("/later/", "key"), resolve("/later/", "plain"), "the priority of the workspace precedes that of the route")
	require.Less(t, resolve("/urgent/", "key"), resolve("/urgent/", "plain"))
}
