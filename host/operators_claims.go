package host

import (
	"context"

	"github.com/twitchtv/twirp"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
	"comfreytiller.dev/registry"
)

// maxListedClaims is the maximum number of claims in a response to ListClaims.
const maxListedClaims = 1000

// ListClaims lists the claims of the state replica on this host. It fails on a
// host without a replica.
func (o *operatorService) ListClaims(ctx context.Context, request *operatorpb.ListClaimsRequest) (*operatorpb.ListClaimsResponse, error) {
	if o.host.state == nil {
		return nil, twirp.FailedPrecondition.Error("this host has no state replica; ask one of " + joinAddresses(o.host.Settings.StateReplicas))
	}
	if err := o.host.state.replica.Barrier(ctx); err != nil {
		return nil, twirp.Unavailable.Error("the state replica is not current: " + err.Error())
	}
	response := &operatorpb.ListClaimsResponse{}
	filter := registry.ClaimFilter{
		Workspace: request.Workspace,
		Service:   request.Service,
		State:     registry.ClaimState(request.State),
		Limit:     maxListedClaims,
	}
	for _, claim := range o.host.state.machine.Claims(filter) {
		if request.Key == "" || request.Key == claim.Key {
			response.Claims = append(response.Claims, claimToWire(claim))
		}
	}
	return response, nil
}

func claimToWire(claim registry.Claim) *operatorpb.Claim {
	return &operatorpb.Claim{
		Workspace: claim.Workspace,
		Service:   claim.Service,
		Key:       claim.Key,
		State:     string(claim.State),
		Opened:    claim.Opened.UnixNano(),
		Note:      claim.Note,
		Status:    int32(claim.Response.Status),
	}
}

// SettleClaim records an operator's verdict on a claim in doubt.
func (o *operatorService) SettleClaim(ctx context.Context, request *operatorpb.SettleClaimRequest) (*operatorpb.SettleClaimResponse, error) {
	result, err := o.propose(ctx, registry.SettleClaim{
		Operation: o.newOperation(request.Operation),
		Key: registry.ClaimKey{
			Workspace: request.Workspace,
			Service:   request.Service,
			Key:       request.Key,
		},
		Ran:  request.Ran,
		Note: request.Note,
	})
	if err != nil {
		return nil, err
	}
	if err := result.Err(); err != nil {
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	return &operatorpb.SettleClaimResponse{State: string(result.Claim.State)}, nil
}
