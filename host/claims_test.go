package host

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/gateway"
	"comfreytiller.dev/registry"
)

func TestGatewayClaim_States(t *testing.T) {
	stored := registry.Response{Status: 200, Body: []byte("paid")}
	for _, test := range []struct {
		name    string
		claim   registry.Claim
		want    gateway.ClaimState
		hasBody bool
	}{
		{"done", registry.Claim{State: registry.ClaimDone, Response: stored}, gateway.ClaimDone, true},
		{"in doubt", registry.Claim{State: registry.ClaimInDoubt}, gateway.ClaimInDoubt, false},
		{"cancelled", registry.Claim{State: registry.ClaimCancelled}, gateway.ClaimCancelled, false},
		{"settled as run", registry.Claim{State: registry.ClaimSettled, Ran: true}, gateway.ClaimDone, false},
		{"settled as not run", registry.Claim{State: registry.ClaimSettled}, gateway.ClaimCancelled, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := gatewayClaim(test.claim)
			require.Equal(t, test.want, got.State)
			require.Equal(t, test.hasBody, len(got.Response.Body) > 0)
			if got.State == gateway.ClaimDone && !test.hasBody {
				require.True(t, got.Response.Truncated, "a response that is not stored must not look like an empty one")
			}
		})
	}
}
