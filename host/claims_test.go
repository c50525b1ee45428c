package host

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/gateway"
	"comfreytiller.dev/registry"
)

func TestClaimsStatesAsTheGatewaySeesThem(t *testing.T) {
	stored := registry.Answer{Status: 200, Body: []byte("paid")}
	for _, test := range []struct {
		name  string
		claim registry.Claim
		want  gateway.ClaimState
		whole bool
	}{
		{"done", registry.Claim{State: registry.ClaimDone, Answer: stored}, gateway.ClaimDone, true},
		{"in doubt", registry.Claim{State: registry.ClaimInDoubt}, gateway.ClaimInDoubt, false},
		{"cancelled", registry.Claim{State: registry.ClaimCancelled}, gateway.ClaimCancelled, false},
		{"settled as run", registry.Claim{State: registry.ClaimSettled, Ran: true}, gateway.ClaimDone, false},
		{"settled as not run", registry.Claim{State: registry.ClaimSettled}, gateway.ClaimCancelled, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := toGateway(test.claim)
			require.Equal(t, test.want, got.State)
			require.Equal(t, test.whole, len(got.Response.Body) > 0)
			if got.State == gateway.ClaimDone && !test.whole {
				require.True(t, got.Response.Truncated, "an answer that is not stored must not look like an empty one")
			}
		})
	}
}
