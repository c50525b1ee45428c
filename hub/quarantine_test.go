package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission/quarantine"
	"comfreytiller.dev/peer"
)

// watch sends one poll to a hub and returns the response.
func (c *cluster) watch(i int, request peer.WatchRequest) peer.WatchResponse {
	replies := make(chan peer.Message, 1)
	c.hubs[i].handleWatch(request, func(m peer.Message) { replies <- m })
	return (<-replies).(peer.WatchResponse)
}

// Requests with a crashing part come to hosts of all hubs, each of which sees some of the
// crashes. A hub that was restarted learns of the quarantine from the others or, if all
// were restarted, from a host.
func TestCrashReports_QuarantineIsKnownToAllHubs(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	now := c.hubs[0].Clock.Now()
	for i, target := range []string{"a", "b", "c"} {
		crashedAt := now.Add(time.Duration(i-4) * time.Second)
		c.watch(i, peer.WatchRequest{Host: "e", CrashReport: quarantine.Report{Crashes: []quarantine.Crash{
			{Subject: quarantine.PromptPart(7), Depth: 1, Target: target, Incarnation: 1, SentAt: crashedAt.Add(-time.Millisecond), CrashedAt: crashedAt},
		}}})
	}
	isKnown := func(i int) bool { return len(c.hubs[i].quarantine.Quarantined(c.hubs[i].Clock.Now())) == 1 }
	c.eventually("all hubs have the part in quarantine", func() bool { return isKnown(0) && isKnown(1) && isKnown(2) })
	var listed []quarantine.Suspect
	c.eventually("a hub lists the part", func() bool {
		listed = c.watch(1, peer.WatchRequest{Host: "e"}).Suspects
		return len(listed) == 1 && listed[0].Key == 7
	})
	c.stop(1)
	c.start(1, false)
	c.eventually("a restarted hub learns of it from the others", func() bool { return isKnown(1) })
	for i := range c.hubs {
		c.stop(i)
	}
	for i := range c.hubs {
		c.start(i, false)
	}
	c.awaitAllVoters()
	require.False(t, isKnown(0))
	c.watch(0, peer.WatchRequest{Host: "e", Quarantined: listed})
	c.eventually("all hubs learn of it from a host", func() bool { return isKnown(0) && isKnown(1) && isKnown(2) })
}

// A host that polls while a part comes into quarantine gets the list at once.
func TestHandleWatch_NewQuarantineEndsPoll(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	hub := c.hubs[0]
	var first peer.WatchResponse
	c.eventually("the hub has contact with a majority", func() bool {
		first = c.watch(0, peer.WatchRequest{Host: "e"})
		return first.QuorumConfirmed
	})
	now := hub.Clock.Now()
	part := quarantine.Suspect{Subject: quarantine.PromptPart(7), Crashes: 3, FirstAt: now, LastAt: now, Until: now.Add(time.Minute)}
	replies := make(chan peer.Message, 1)
	go hub.handleWatch(peer.WatchRequest{
		Host: "e", RosterSource: first.RosterSource, RosterVersion: first.RosterVersion, SuspectsVersion: first.SuspectsVersion,
		Revision: hub.replica.Machine.View().Revision, MaxWait: time.Hour,
	}, func(m peer.Message) { replies <- m })
	hub.mergeCrashReport("another hub", quarantine.Report{}, []quarantine.Suspect{part})
	response := (<-replies).(peer.WatchResponse)
	require.Len(t, response.Suspects, 1)
	require.Equal(t, uint64(7), response.Suspects[0].Key)
}
