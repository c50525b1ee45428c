package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

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

// A host that can't know whether its configuration is the latest sends the caller elsewhere
// instead of rejecting an unknown route or key for good.
func TestResolveRoute_UnconfirmedConfigurationRejectsNothingForGood(t *testing.T) {
	config, err := fleet.Parse([]byte(`{
		"Name": "Agence", "FailureDomains": ["a"],
		"Services": [{"Name": "s", "Kind": "Plain", "Calls": [{"Name": "Pay"}]}],
		"Workspaces": [{"Name": "w", "Keys": ["k"]}],
		"Routes": [{"Name": "r", "HostName": "h", "PathPrefix": "/a/", "Kind": "Once", "Timeout": "1s", "Split": [{"Service": "s"}]}]}`))
	require.NoError(t, err)
	table := fleet.NewTable(config)
	for _, query := range []RouteQuery{{HostName: "h", Path: "/b/", APIKey: "k"}, {HostName: "h", Path: "/a/", APIKey: "x"}} {
		f := ResolveRoute(&Request{}, table, query)
		require.Contains(t, []int{fasthttp.StatusNotFound, fasthttp.StatusUnauthorized}, f.Status)
		query.Unconfirmed = true
		f = ResolveRoute(&Request{}, table, query)
		require.Equal(t, fasthttp.StatusServiceUnavailable, f.Status)
		require.Equal(t, RanNo, f.Ran)
		require.Positive(t, f.RetryAfter)
	}
	require.Nil(t, ResolveRoute(&Request{}, table, RouteQuery{HostName: "h", Path: "/a/", APIKey: "k", Unconfirmed: true}))
}
