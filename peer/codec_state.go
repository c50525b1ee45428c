package peer

import (
	"time"

	"comfreytiller.dev/peer/peerpb"
)

func setStateBody(wire *peerpb.Frame, message Message) {
	switch m := message.(type) {
	case Quorum:
		wire.Body = &peerpb.Frame_Quorum{Quorum: &peerpb.Quorum{Messages: m.Messages}}
	case Propose:
		wire.Body = &peerpb.Frame_Propose{Propose: &peerpb.Propose{Command: m.Command}}
	case Proposed:
		wire.Body = &peerpb.Frame_Proposed{Proposed: &peerpb.Proposed{
			Code: string(m.Code), Result: m.Result, Leader: m.Leader,
		}}
	case Renew:
		wire.Body = &peerpb.Frame_Renew{Renew: &peerpb.Renew{
			Session:      m.Session,
			Revision:     m.Revision,
			FleetVersion: m.FleetVersion,
			Wait:         int64(m.Wait),
			IdleServices: m.IdleServices,
		}}
	case Renewed:
		wire.Body = &peerpb.Frame_Renewed{Renewed: &peerpb.Renewed{
			Code: string(m.Code), Leader: m.Leader, Delta: m.Delta, IdleServices: m.IdleServices,
		}}
	case VersionsAsk:
		wire.Body = &peerpb.Frame_VersionsAsk{VersionsAsk: &peerpb.Ping{}}
	case VersionsTold:
		wire.Body = &peerpb.Frame_VersionsTold{VersionsTold: &peerpb.VersionsTold{
			Revision: m.Revision, FleetVersion: m.FleetVersion, OutageVersion: m.OutageVersion,
		}}
	case IdentityAsk:
		wire.Body = &peerpb.Frame_IdentityAsk{IdentityAsk: &peerpb.Ping{}}
	case IdentityTold:
		wire.Body = &peerpb.Frame_IdentityTold{IdentityTold: &peerpb.IdentityTold{Id: m.ID, Host: m.Host, Cluster: m.Cluster}}
	}
}

func stateBody(wire *peerpb.Frame) Message {
	switch b := wire.Body.(type) {
	case *peerpb.Frame_Quorum:
		return Quorum{Messages: b.Quorum.Messages}
	case *peerpb.Frame_Propose:
		return Propose{Command: b.Propose.Command}
	case *peerpb.Frame_Proposed:
		p := b.Proposed
		return Proposed{Code: Code(p.Code), Result: p.Result, Leader: p.Leader}
	case *peerpb.Frame_Renew:
		r := b.Renew
		return Renew{
			Session:      r.Session,
			Revision:     r.Revision,
			FleetVersion: r.FleetVersion,
			Wait:         time.Duration(r.Wait),
			IdleServices: r.IdleServices,
		}
	case *peerpb.Frame_Renewed:
		r := b.Renewed
		return Renewed{Code: Code(r.Code), Leader: r.Leader, Delta: r.Delta, IdleServices: r.IdleServices}
	case *peerpb.Frame_VersionsAsk:
		return VersionsAsk{}
	case *peerpb.Frame_VersionsTold:
		v := b.VersionsTold
		return VersionsTold{Revision: v.Revision, FleetVersion: v.FleetVersion, OutageVersion: v.OutageVersion}
	case *peerpb.Frame_IdentityAsk:
		return IdentityAsk{}
	case *peerpb.Frame_IdentityTold:
		return IdentityTold{ID: b.IdentityTold.Id, Host: b.IdentityTold.Host, Cluster: b.IdentityTold.Cluster}
	}
	return nil
}
