package host

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/twitchtv/twirp"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
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

// ChangeReplica adds, removes or replaces a state replica. It fails on hosts
// other than the leader's.
func (o *operatorService) ChangeReplica(ctx context.Context, request *operatorpb.ReplicaRequest) (*operatorpb.ReplicaResponse, error) {
	if o.host.state == nil || !o.host.state.replica.Leadership().IsLeader {
		return nil, twirp.FailedPrecondition.Error("this host does not lead the state replicas; ask " + o.leaderHint())
	}
	ctx, cancel := clockwork.WithTimeout(ctx, o.host.Clock, replicaChangeTimeout)
	defer cancel()
	replica := o.host.state.replica
	switch request.Change {
	case "Add":
		member, err := o.identify(ctx, request.Address)
		if err != nil {
			return nil, err
		}
		if err := replica.Admit(ctx, member); err != nil {
			return nil, twirp.Aborted.Error(err.Error())
		}
		return &operatorpb.ReplicaResponse{Message: fmt.Sprintf("Replica %s on host %s has a vote.", member.ID, member.Host)}, nil
	case "Remove":
		if !o.isMember(request.Id) {
			return nil, twirp.NotFound.Error("there is no replica " + request.Id + "; status shows their identities")
		}
		if err := replica.Remove(ctx, request.Id); err != nil {
			return nil, twirp.Aborted.Error(err.Error())
		}
		return &operatorpb.ReplicaResponse{Message: o.removalMessage(request.Id)}, nil
	case "Replace":
		member, err := o.identify(ctx, request.Address)
		if err != nil {
			return nil, err
		}
		if err := replica.Replace(ctx, request.Id, member); err != nil {
			return nil, twirp.Aborted.Error(err.Error())
		}
		return &operatorpb.ReplicaResponse{Message: fmt.Sprintf(
			"Replica %s on host %s replaces %s. The loss of any other one is survivable now.", member.ID, member.Host, request.Id,
		)}, nil
	}
	return nil, twirp.InvalidArgument.Error("the change is " + request.Change + "; accepted are Add, Remove and Replace")
}

func (o *operatorService) isMember(id string) bool {
	for _, member := range o.host.state.replica.Status().Members {
		if member.ID == id {
			return true
		}
	}
	return false
}

func (o *operatorService) leaderHint() string {
	if o.host.state != nil {
		if leader := o.host.state.LeaderAddress(); leader != "" {
			return leader
		}
	}
	return "one of " + joinAddresses(o.host.Settings.StateReplicas)
}

// removalMessage describes the result of a removal and whether the cluster
// tolerates the loss of another replica.
func (o *operatorService) removalMessage(id string) string {
	voters := 0
	for _, member := range o.host.state.replica.Status().Members {
		if member.Voter && member.ID != id {
			voters++
		}
	}
	const minFaultTolerantVoters = 3
	if voters < minFaultTolerantVoters {
		return fmt.Sprintf("Replica %s is removed. Only %d have a vote: the loss of one stops all changes.", id, voters)
	}
	return fmt.Sprintf("Replica %s is removed; %d have a vote.", id, voters)
}

// identify queries the identity of the replica at an address.
func (o *operatorService) identify(ctx context.Context, address string) (quorum.Member, error) {
	reply, err := o.host.node.Call(ctx, address, peer.IdentityRequest{})
	if err != nil {
		return quorum.Member{}, twirp.Unavailable.Error(err.Error())
	}
	identity, ok := reply.(peer.IdentityResponse)
	if !ok || identity.ID == "" {
		return quorum.Member{}, twirp.FailedPrecondition.Error("the host at " + address + " has no state replica")
	}
	return quorum.Member{ID: identity.ID, Host: identity.Host, Address: address, Voter: true}, nil
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
