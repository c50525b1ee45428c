package hub

import (
	"maps"
	"slices"
	"sync"
	"time"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
)

// silenceObserver observes how long voters have been silent. It does so on every hub, so that
// what followers have observed outlives an election and a standstill of the leader.
type silenceObserver struct {
	hub *Hub

	mu sync.Mutex
	// running is the time in which this hub would have heard of the others.
	running listeningTime
	// heardAt is when the last report of a replica arrived, by its ID.
	heardAt map[string]time.Time
	// reports are the silent voters that other hubs have reported, by the reporter's ID.
	reports map[string][]string
	// silent are the voters that this hub reports itself.
	silent []string
}

func newSilenceObserver(h *Hub) *silenceObserver {
	return &silenceObserver{hub: h, heardAt: map[string]time.Time{}, reports: map[string][]string{}}
}

// record records a report of another hub.
func (o *silenceObserver) record(m peer.RosterUpdate) {
	if m.Replica == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heardAt[m.Replica] = o.hub.Clock.Now()
	o.reports[m.Replica] = m.SilentVoters
}

// observe notes that this hub runs, and which voters are silent. It starts anew if the last call
// was more than maxGap ago.
func (o *silenceObserver) observe(maxGap time.Duration) {
	now := o.hub.Clock.Now()
	o.mu.Lock()
	o.running = o.running.extend(now, maxGap)
	o.forgetOldReports(now)
	o.mu.Unlock()
	var silent []string
	for _, voter := range o.silentMembers(voterLostAfter) {
		silent = append(silent, voter.ID)
	}
	o.mu.Lock()
	previous := o.silent
	o.silent = silent
	o.mu.Unlock()
	for _, id := range silent {
		if !slices.Contains(previous, id) {
			o.hub.log.WithField("Replica", id).Infof("Voter %s has been silent for more than %s.", id, voterLostAfter)
		}
	}
}

// forgetOldReports forgets the reports of hubs that are silent themselves. The caller must hold
// o.mu.
func (o *silenceObserver) forgetOldReports(now time.Time) {
	maps.DeleteFunc(o.reports, func(reporter string, _ []string) bool { return now.Sub(o.heardAt[reporter]) > voterSilentAfter })
	maps.DeleteFunc(o.heardAt, func(_ string, heardAt time.Time) bool { return heardAt.Before(o.running.since) })
}

// silentMembers returns the voters that have been silent at this hub for longer than a time.
func (o *silenceObserver) silentMembers(longerThan time.Duration) []quorum.MemberStatus {
	status := o.hub.replica.Quorum.Status()
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(status.Members, func(member quorum.MemberStatus) bool {
		contact := member.LastContact
		if heardAt := o.heardAt[member.ID]; heardAt.After(contact) {
			contact = heardAt
		}
		return !member.Voter || member.ID == status.ID || o.running.silence(contact) <= longerThan
	})
}

// silentVoters returns the IDs of the voters that this hub reports as silent.
func (o *silenceObserver) silentVoters() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.silent
}

// reported returns the IDs of the voters that this hub or others report as silent.
func (o *silenceObserver) reported() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	reported := map[string]bool{}
	for _, silent := range append(slices.Collect(maps.Values(o.reports)), o.silent) {
		for _, id := range silent {
			reported[id] = true
		}
	}
	return reported
}
