package peer

import (
	"time"

	"comfreytiller.dev/peer/peerpb"
)

func encodeStateBody(wire *peerpb.Frame, message Message) {
	switch m := message.(type) {
	case QuorumMessages:
		wire.Body = &peerpb.Frame_Quorum{Quorum: &peerpb.Quorum{Messages: m.Messages}}
	case ProposeRequest:
		wire.Body = &peerpb.Frame_Propose{Propose: &peerpb.Propose{Command: m.Command}}
	case ProposeResponse:
		wire.Body = &peerpb.Frame_Proposed{Proposed: &peerpb.Proposed{
			Code: string(m.Code), Result: m.Result, Leader: m.Leader,
		}}
	case RenewRequest:
		wire.Body = &peerpb.Frame_Renew{Renew: &peerpb.Renew{
			Session:      m.Session,
			Revision:     m.Revision,
			FleetVersion: m.FleetVersion,
			Wait:         int64(m.MaxWait),
			IdleServices: m.UnavailableServices,
		}}
	case RenewResponse:
		wire.Body = &peerpb.Frame_Renewed{Renewed: &peerpb.Renewed{
			Code: string(m.Code), Leader: m.Leader, Delta: m.Delta, IdleServices: m.UnavailableServices,
		}}
	case VersionsRequest:
		wire.Body = &peerpb.Frame_VersionsAsk{VersionsAsk: &peerpb.Ping{}}
	case VersionsResponse:
		wire.Body = &peerpb.Frame_VersionsTold{VersionsTold: &peerpb.VersionsTold{
			Revision: m.Revision, FleetVersion: m.FleetVersion, OutageVersion: m.OutageVersion,
		}}
	case HostsRequest:
		wire.Body = &peerpb.Frame_HostsAsk{HostsAsk: &peerpb.Ping{}}
	case HostsResponse:
		wire.Body = &peerpb.Frame_HostsTold{HostsTold: &peerpb.HostsTold{Addresses: m.Addresses}}
	case IdentityRequest:
		wire.Body = &peerpb.Frame_IdentityAsk{IdentityAsk: &peerpb.Ping{}}
	case IdentityResponse:
		wire.Body = &peerpb.Frame_IdentityTold{IdentityTold: &peerpb.IdentityTold{
			Id: m.ID, Host: m.Host, Cluster: m.Cluster, LastTerm: m.LastTerm, LastIndex: m.LastIndex,
		}}
	case MemberChangeRequest:
		wire.Body = &peerpb.Frame_MemberChange{MemberChange: &peerpb.MemberChange{Change: string(m.Change), Id: m.ID, Address: m.Address}}
	case MemberChangeResponse:
		wire.Body = &peerpb.Frame_MemberChanged{MemberChanged: &peerpb.MemberChanged{Code: string(m.Code), Message: m.Message, Leader: m.Leader}}
	}
}

func decodeStateBody(wire *peerpb.Frame) Message {
	switch b := wire.Body.(type) {
	case *peerpb.Frame_Quorum:
		return QuorumMessages{Messages: b.Quorum.Messages}
	case *peerpb.Frame_Propose:
		return ProposeRequest{Command: b.Propose.Command}
	case *peerpb.Frame_Proposed:
		p := b.Proposed
		return ProposeResponse{Code: Code(p.Code), Result: p.Result, Leader: p.Leader}
	case *peerpb.Frame_Renew:
		r := b.Renew
		return RenewRequest{
			Session:             r.Session,
			Revision:            r.Revision,
			FleetVersion:        r.FleetVersion,
			MaxWait:             time.Duration(r.Wait),
			UnavailableServices: r.IdleServices,
		}
	case *peerpb.Frame_Renewed:
		r := b.Renewed
		return RenewResponse{Code: Code(r.Code), Leader: r.Leader, Delta: r.Delta, UnavailableServices: r.IdleServices}
	case *peerpb.Frame_VersionsAsk:
		return VersionsRequest{}
	case *peerpb.Frame_VersionsTold:
		v := b.VersionsTold
		return VersionsResponse{Revision: v.Revision, FleetVersion: v.FleetVersion, OutageVersion: v.OutageVersion}
	case *peerpb.Frame_HostsAsk:
		return HostsRequest{}
	case *peerpb.Frame_HostsTold:
		return HostsResponse{Addresses: b.HostsTold.Addresses}
	case *peerpb.Frame_IdentityAsk:
		return IdentityRequest{}
	case *peerpb.Frame_IdentityTold:
		i := b.IdentityTold
		return IdentityResponse{ID: i.Id, Host: i.Host, Cluster: i.Cluster, LastTerm: i.LastTerm, LastIndex: i.LastIndex}
	case *peerpb.Frame_MemberChange:
		c := b.MemberChange
		return MemberChangeRequest{Change: MemberChange(c.Change), ID: c.Id, Address: c.Address}
	case *peerpb.Frame_MemberChanged:
		c := b.MemberChanged
		return MemberChangeResponse{Code: Code(c.Code), Message: c.Message, Leader: c.Leader}
	}
	return nil
}
