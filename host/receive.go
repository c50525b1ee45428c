package host

import (
	"comfreytiller.dev/peer"
)

// receive takes the messages of other hosts.
func (h *Host) receive(from string, message peer.Message, reply peer.Reply) {
	if reply == nil {
		reply = func(peer.Message) {}
	}
	switch m := message.(type) {
	case peer.AcquireRequest:
		h.owners.acquire(m, reply)
	case peer.Releases:
		h.owners.release(m)
		reply(peer.Ack{})
	case peer.AdoptPermits:
		if !h.owners.adopt(m) {
			reply(peer.Failure{Message: "this host does not decide for the service under that fence"})
			return
		}
		reply(peer.Ack{})
	case peer.ServiceStateChunk:
		h.owners.keepCopy(m)
		reply(peer.Ack{})
	case peer.TargetUpdate:
		h.owners.targetNews(m, reply)
	case peer.StatusRequest:
		if m.Service == "" {
			h.placer.tellStatus(reply)
			return
		}
		h.owners.tellStatus(m, reply)
	case peer.VersionsRequest:
		view := h.session.View()
		reply(peer.VersionsResponse{
			Revision:      view.Revision,
			FleetVersion:  view.FleetVersion,
			OutageVersion: view.OutageVersion,
		})
	default:
		h.receiveState(from, message, reply)
	}
}

// receiveState takes the messages for a state replica.
func (h *Host) receiveState(from string, message peer.Message, reply peer.Reply) {
	switch m := message.(type) {
	case peer.Digest:
		h.placer.take(m, reply)
	case peer.IdentityRequest:
		reply(h.identity())
	case peer.QuorumMessages:
		if h.state != nil {
			h.state.Deliver(m)
		}
	case peer.ProposeRequest:
		if h.state == nil {
			reply(peer.ProposeResponse{Code: peer.CodeNotReplica})
			return
		}
		go h.state.Propose(m, reply)
	case peer.RenewRequest:
		if h.state == nil {
			reply(peer.RenewResponse{Code: peer.CodeNotReplica})
			return
		}
		go h.state.renew(m, reply)
	default:
		h.log.Warnf("Message of type %T from %s is not for this host.", message, from)
		reply(peer.Failure{Message: "not for this host"})
	}
}

// identity names this host's state replica.
func (h *Host) identity() peer.IdentityResponse {
	if h.state == nil {
		return peer.IdentityResponse{Host: h.Settings.Host}
	}
	return h.state.Identity()
}
