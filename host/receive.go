package host

import (
	"comfreytiller.dev/peer"
)

// receive handles messages from other hosts.
func (h *Host) receive(from string, message peer.Message, reply peer.Reply) {
	if reply == nil {
		reply = func(peer.Message) {}
	}
	switch m := message.(type) {
	case peer.Acquire:
		h.ownedServices.acquire(m, reply)
	case peer.Releases:
		h.ownedServices.release(m)
		reply(peer.Taken{})
	case peer.Adopt:
		if !h.ownedServices.adopt(m) {
			reply(peer.Failure{Message: "this host does not decide for the service under that fence"})
			return
		}
		reply(peer.Taken{})
	case peer.CopyPart:
		h.ownedServices.storeReplicatedState(m)
		reply(peer.Taken{})
	case peer.TargetNews:
		h.ownedServices.handleTargetReport(m, reply)
	case peer.StatusAsk:
		if m.Service == "" {
			h.placementController.replyStatus(reply)
			return
		}
		h.ownedServices.replyStatus(m, reply)
	case peer.VersionsAsk:
		view := h.session.View()
		reply(peer.VersionsTold{
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
	case peer.IdentityAsk:
		reply(h.identity())
	case peer.Quorum:
		if h.state != nil {
			h.state.Deliver(m)
		}
	case peer.Propose:
		if h.state == nil {
			reply(peer.Proposed{Code: peer.CodeNotReplica})
			return
		}
		go h.state.Propose(m, reply)
	case peer.Renew:
		if h.state == nil {
			reply(peer.Renewed{Code: peer.CodeNotReplica})
			return
		}
		go h.state.renew(m, reply)
	default:
		h.log.Warnf("Received unexpected message of type %T from host %s.", message, from)
		reply(peer.Failure{Message: "not for this host"})
	}
}

// identity returns the identity of this host's state replica.
func (h *Host) identity() peer.IdentityTold {
	if h.state == nil {
		return peer.IdentityTold{Host: h.Settings.Host}
	}
	return h.state.Identity()
}
