package host

import (
	"context"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/twitchtv/twirp"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

// replicaChangeTimeout bounds a membership change, including the catch-up of a
// new replica.
const replicaChangeTimeout = 2 * time.Minute

func joinAddresses(addresses []string) string { return strings.Join(addresses, ", ") }

// replicaStatus returns the members as seen by this host's replica, or nil if
// this host has none.
func (o *operatorService) replicaStatus(_ context.Context, _ *registry.View) []*operatorpb.ReplicaStatus {
	if o.host.state == nil {
		return nil
	}
	status := o.host.state.replica.Status()
	var replicas []*operatorpb.ReplicaStatus
	for _, member := range status.Members {
		replicas = append(replicas, &operatorpb.ReplicaStatus{
			Id:      member.ID,
			Host:    member.Host,
			Address: member.Address,
			Voter:   member.Voter,
			Leader:  member.ID == status.Leader,
			Match:   member.MatchIndex,
		})
	}
	return replicas
}

// ChangeReplica adds, removes or replaces a state replica, at the leader.
func (o *operatorService) ChangeReplica(ctx context.Context, request *operatorpb.ReplicaRequest) (*operatorpb.ReplicaResponse, error) {
	change := peer.MemberChange(request.Change)
	if change != peer.MemberAdd && change != peer.MemberRemove && change != peer.MemberReplace {
		return nil, twirp.InvalidArgument.Error("the change is " + request.Change + "; accepted are Add, Remove and Replace")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, o.host.Clock, replicaChangeTimeout)
	defer cancel()
	response, err := o.host.session.ChangeMembers(ctx, peer.MemberChangeRequest{Change: change, ID: request.Id, Address: request.Address})
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	switch response.Code {
	case peer.CodeDone:
		return &operatorpb.ReplicaResponse{Message: response.Message}, nil
	case peer.CodeUnknownMember:
		return nil, twirp.NotFound.Error(response.Message)
	case peer.CodeUnreachable:
		return nil, twirp.Unavailable.Error(response.Message)
	case peer.CodeNoReplicaAtAddress:
		return nil, twirp.FailedPrecondition.Error(response.Message)
	}
	return nil, twirp.Aborted.Error(response.Message)
}

// Backup returns a backup of the configuration, outages, pins and claims.
func (o *operatorService) Backup(ctx context.Context, _ *operatorpb.BackupRequest) (*operatorpb.BackupResponse, error) {
	if o.host.state == nil {
		return nil, twirp.FailedPrecondition.Error("this host has no state replica; ask one of " + joinAddresses(o.host.Settings.StateReplicas))
	}
	if err := o.host.state.replica.Barrier(ctx); err != nil {
		return nil, twirp.Unavailable.Error("the state replica is not current: " + err.Error())
	}
	data, err := o.host.state.machine.Backup()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &operatorpb.BackupResponse{Backup: data}, nil
}
