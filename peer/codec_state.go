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
	}
	return nil
}
