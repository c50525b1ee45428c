package host

import (
	"comfreytiller.dev/peer"
)

// receive handles messages from other hosts, and those that this host sends to
// itself as an owner. reply is nil for messages that expect no reply.
func (h *Host) receive(from string, message peer.Message, reply peer.Reply) {
	if reply == nil {
		reply = func(peer.Message) {}
	}
	switch m := message.(type) {
	case peer.AcquireRequest:
		h.ownedServices.acquire(m, reply)
	case peer.Releases:
		h.ownedServices.release(m)
		reply(peer.Ack{})
	case peer.AdoptPermits:
		if !h.ownedServices.adopt(m) {
			reply(peer.Failure{Message: "this host does not decide for the service under that fence"})
			return
		}
		reply(peer.Ack{})
	case peer.ServiceStateChunk:
		h.ownedServices.storeReplicatedState(m)
		reply(peer.Ack{})
	case peer.TargetUpdate:
		h.ownedServices.handleTargetUpdate(m, reply)
	case peer.StatusRequest:
		if m.Service == "" {
			h.placementController.replyStatus(reply)
			return
		}
		h.ownedServices.replyStatus(m, reply)
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

// receiveState handles messages for a state replica.
func (h *Host) receiveState(from string, message peer.Message, reply peer.Reply) {
	switch m := message.(type) {
	case peer.Digest:
		h.placementController.handleDigest(m, reply)
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
	case peer.MemberChangeRequest:
		go h.memberChanger.handle(m, reply)
	case peer.RenewRequest:
		if h.state == nil {
			reply(peer.RenewResponse{Code: peer.CodeNotReplica})
			return
		}
		go h.state.renew(m, reply)
	default:
		h.log.Warnf("Received unexpected message of type %T from host %s.", message, from)
		reply(peer.Failure{Message: "not for this host"})
	}
}

// identity returns the identity of this host's state replica.
func (h *Host) identity() peer.IdentityResponse {
	if h.state == nil {
		return peer.IdentityResponse{Host: h.Settings.Host}
	}
	return h.state.Identity()
}
