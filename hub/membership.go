package hub

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
)

const (
	// membershipInterval is the interval between checks of the membership.
	membershipInterval = 100 * time.Millisecond
	// identityTimeout limits one request for a replica's identity.
	identityTimeout = 500 * time.Millisecond
	// joinRequestTTL is how long a join request is valid unless it is resent.
	joinRequestTTL = 2 * time.Second
	// changeTimeout limits one membership change. It is short because the replicas that
	// are ready must not wait for one that has just stopped.
	changeTimeout = time.Second
	// voterLostAfter is how long a voter must be silent before it may be replaced by a replica
	// that has caught up. A machine that was replaced no longer counts as lost 4 s after its
	// successor has started, so that two others may be lost by then; an election may
	// take 1 s of that. A voter that is replaced while it is only slow becomes a learner.
	voterLostAfter = 2 * time.Second
	// confirmedSilence is how long the leader itself must not have heard of a voter that another
	// hub has reported as silent for voterLostAfter. A voter that is there responds to the
	// leader's next heartbeat, which is sent within 300 ms.
	confirmedSilence = 400 * time.Millisecond
	// replacementContactWithin is how recently a learner must have been heard of to replace a
	// voter. It is above the time of two heartbeats.
	replacementContactWithin = 700 * time.Millisecond
	// maxCheckGap is the time between two checks of the membership after which the leader
	// counts as having stood still. It is above the intervals of a busy process.
	maxCheckGap = 5 * membershipInterval
)

// membershipManager keeps the cluster's membership: it requests membership for
// this host's replica, and on the leader it adds the replicas that request it.
type membershipManager struct {
	hub *Hub
	// send sends a message to the hub at an address.
	send func(address string, message peer.Message)
	// identify asks the replica at an address for its identity.
	identify func(ctx context.Context, address string) (peer.IdentityResponse, error)

	mu sync.Mutex
	// configuredReplicas are the addresses of the state replicas in the
	// settings.
	configuredReplicas []string
	// joinRequests are the replicas that request membership, by ID.
	joinRequests map[string]joinRequest
	// lostVoters are the IDs of the voters that were reported as lost.
	lostVoters map[string]bool
	// verifying has the addresses whose replica is being asked for its identity.
	verifying map[string]bool
	// listening is the time in which this leader would have heard of its voters. It is not
	// guarded by mu, since only run uses it.
	listening listeningTime
	// silence observes the voters whether or not this hub leads.
	silence *silenceObserver
	// successorsSoughtAt is when the replicas of silent voters were last asked; only run uses it.
	successorsSoughtAt time.Time
}

// joinRequest is a replica's request for membership.
type joinRequest struct {
	peer.JoinRequest
	receivedAt time.Time
}

func newMembershipManager(h *Hub) *membershipManager {
	send := func(address string, message peer.Message) { h.node.Send(address, message) }
	return &membershipManager{
		hub: h, send: send, identify: h.identify, verifying: map[string]bool{}, configuredReplicas: h.Settings.StateReplicas,
		joinRequests: map[string]joinRequest{}, lostVoters: map[string]bool{}, silence: newSilenceObserver(h),
	}
}

// setConfiguredReplicas replaces the configured addresses of the state
// replicas.
func (m *membershipManager) setConfiguredReplicas(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configuredReplicas = addresses
}

// configured returns the configured addresses of the state replicas.
func (m *membershipManager) configured() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.configuredReplicas)
}

// recordJoin records a join request. The sender may not know the leader, so a
// follower forwards the request once.
func (m *membershipManager) recordJoin(request peer.JoinRequest) {
	m.reportLostVoters(request)
	leader := m.hub.replica.LeaderAddress()
	if !request.Forwarded && leader != "" && leader != m.hub.Settings.Peers {
		request.Forwarded = true
		m.send(leader, request)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.joinRequests[request.ID]; !known {
		m.logJoin(request)
	}
	// A former replica at the address has lost its disk.
	maps.DeleteFunc(m.joinRequests, func(_ string, other joinRequest) bool { return other.Address == request.Address })
	m.joinRequests[request.ID] = joinRequest{JoinRequest: request, receivedAt: m.hub.Clock.Now()}
}

// logJoin logs the first join request of a replica: a new one has lost its disk or never had
// one, a voter has only lost contact with the majority. A replica that has not joined yet
// can't tell.
func (m *membershipManager) logJoin(request peer.JoinRequest) {
	status := m.hub.replica.Quorum.Status()
	if len(status.Members) == 0 {
		return
	}
	role := "no member"
	for _, member := range status.Members {
		switch {
		case member.ID == request.ID && member.Voter:
			role = "a voter"
		case member.ID == request.ID:
			role = "a learner"
		}
	}
	m.hub.log.Infof("Replica %s of host %s requests membership: it is %s of the cluster.", request.ID, request.Host, role)
}

// reportLostVoters reports the voters that are lost because a replica with another ID uses
// their address. The join request may be that of a former replica and late, so that the
// present one is asked first.
func (m *membershipManager) reportLostVoters(request peer.JoinRequest) {
	if request.Forwarded || len(m.unreportedVoters(request.Address, request.ID)) == 0 {
		return
	}
	m.mu.Lock()
	isVerified := m.verifying[request.Address]
	m.verifying[request.Address] = true
	m.mu.Unlock()
	if !isVerified {
		go m.verifyLostVoters(request.Address)
	}
}

// verifyLostVoters asks the replica at an address for its identity, and reports the voters
// that had the address under another ID.
func (m *membershipManager) verifyLostVoters(address string) {
	defer func() {
		m.mu.Lock()
		delete(m.verifying, address)
		m.mu.Unlock()
	}()
	status := m.hub.replica.Quorum.Status()
	ctx, cancel := clockwork.WithTimeout(context.Background(), m.hub.Clock, identityTimeout)
	defer cancel()
	present, err := m.identify(ctx, address)
	if err != nil || present.ID == "" {
		m.hub.log.WithField("Address", address).Debugf("A voter is not known to be lost: the replica at its address doesn't tell its identity: %v.", err)
		return
	}
	for _, id := range LostVoters(status, peer.JoinRequest{ID: present.ID, Address: address}) {
		m.mu.Lock()
		known := m.lostVoters[id]
		m.lostVoters[id] = true
		m.mu.Unlock()
		if known {
			continue
		}
		m.hub.log.WithFields(map[string]any{"Replica": id, "Address": address, "Host": present.Host, "Successor": present.ID}).
			Infof("Voter %s is lost: another replica uses its address.", id)
		m.hub.replica.Quorum.ReportLost(id)
	}
}

// unreportedVoters returns the voters that would be lost if the replica had the address, and
// are not reported as such.
func (m *membershipManager) unreportedVoters(address, id string) []string {
	lost := LostVoters(m.hub.replica.Quorum.Status(), peer.JoinRequest{ID: id, Address: address})
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(lost, func(id string) bool { return m.lostVoters[id] })
}

// run requests membership for this replica and, on the leader, changes the
// membership.
func (m *membershipManager) run(ctx context.Context) {
	ticks.Every(ctx, m.hub.Clock, membershipInterval, func(ctx context.Context) {
		m.silence.observe(maxCheckGap)
		leadership := m.hub.replica.Quorum.Leadership()
		if !leadership.IsLeader {
			m.listening = listeningTime{}
			m.requestMembership()
			return
		}
		m.listening = m.listening.extend(m.hub.Clock.Now(), maxCheckGap)
		m.findSuccessors(ctx)
		for leadership.Confirmed && m.applyNextChange(ctx) {
			leadership = m.hub.replica.Quorum.Leadership()
		}
	})
}

// requestMembership sends a join request to all other known hubs unless this
// replica is a voter. A replica without contact with a majority may have been replaced
// without knowing it.
func (m *membershipManager) requestMembership() {
	status := m.hub.replica.Quorum.Status()
	for _, member := range status.Members {
		if member.ID == status.ID && member.Voter && m.hub.hasMajorityContact() {
			return
		}
	}
	request := peer.JoinRequest{ID: status.ID, Host: m.hub.Settings.Host, Address: m.hub.Settings.Peers}
	contacted := map[string]bool{m.hub.Settings.Peers: true}
	m.mu.Lock()
	addresses := append(m.hub.replicaAddresses(), m.configuredReplicas...)
	m.mu.Unlock()
	for _, address := range addresses {
		if contacted[address] {
			continue
		}
		contacted[address] = true
		m.send(address, request)
	}
}

// applyNextChange applies at most one membership change and reports whether it succeeded.
func (m *membershipManager) applyNextChange(ctx context.Context) bool {
	change := m.nextChange()
	if change == nil {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, m.hub.Clock, changeTimeout)
	defer cancel()
	err := change(ctx)
	m.listening = m.listening.extend(m.hub.Clock.Now(), changeTimeout+maxCheckGap)
	m.silence.observe(changeTimeout + maxCheckGap)
	if err != nil {
		m.hub.log.Warnf("Membership change failed: %v.", err)
		return false
	}
	return true
}

// nextChange returns the next membership change that need not wait for any replica to catch
// up; nil for none.
func (m *membershipManager) nextChange() func(context.Context) error {
	status := m.hub.replica.Quorum.Status()
	replica := m.hub.replica.Quorum
	if surplus := SurplusVoter(status, m.hub.desiredVoters(), m.lostVoter(status)); surplus != "" {
		m.hub.log.WithField("Replica", surplus).Info("Removing a replaced voter from the cluster.")
		return func(ctx context.Context) error { return replica.Remove(ctx, surplus) }
	}
	requests := m.activeRequests()
	if stale := SupersededLearner(status, requests); stale != "" {
		m.hub.log.WithField("Replica", stale).Info("Removing a learner from the cluster: another replica uses its address.")
		return func(ctx context.Context) error { return replica.Remove(ctx, stale) }
	}
	for _, request := range requests {
		change := NextStep(status, PlanMembership(status, request, m.hub.desiredVoters(), m.lostVoter(status)), request.ID)
		member := quorum.Member{ID: request.ID, Host: request.Host, Address: request.Address}
		switch change.Step {
		case StepAdmit:
			m.logChange(change, member)
			return func(ctx context.Context) error { return replica.Admit(ctx, member) }
		case StepReplace:
			if !IsResponsive(status, request.ID, m.hub.Clock.Now(), replacementContactWithin) {
				continue
			}
			m.logChange(change, member)
			return func(ctx context.Context) error { return m.replace(ctx, change.Replaced, member) }
		case StepAddLearner:
			m.logChange(change, member)
			return func(ctx context.Context) error { return replica.AddLearner(ctx, member) }
		}
	}
	return nil
}

// replace removes a voter and gives its vote to a learner that has caught up. The voter goes
// first: with both in the cluster, a majority would need one replica more while fewer
// are there.
func (m *membershipManager) replace(ctx context.Context, oldID string, replacement quorum.Member) error {
	if err := m.hub.replica.Quorum.Remove(ctx, oldID); err != nil {
		return err
	}
	return m.hub.replica.Quorum.Admit(ctx, replacement)
}

func (m *membershipManager) logChange(change MembershipChange, member quorum.Member) {
	m.hub.log.WithFields(map[string]any{
		"Step": change.Step, "Replica": member.ID, "Host": member.Host, "Replaced": change.Replaced,
	}).Infof("Starting membership change %s for host %s.", change.Step, member.Host)
}

// activeRequests returns the join requests that have not expired, by ID, and deletes the
// others.
func (m *membershipManager) activeRequests() []joinRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.hub.Clock.Now()
	var requests []joinRequest
	for id, request := range m.joinRequests {
		if now.Sub(request.receivedAt) > joinRequestTTL {
			delete(m.joinRequests, id)
			continue
		}
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b joinRequest) int { return strings.Compare(a.ID, b.ID) })
	return requests
}

// lostVoter returns the voter to replace because of its silence; "" for none.
func (m *membershipManager) lostVoter(status quorum.Status) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return LongestSilentVoter(status, m.listening, m.lostVoters, m.silence.reported())
}
