package registry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// textOf gives a fleet of so many plain services in three failure domains.
func textOf(services int) string {
	var b strings.Builder
	b.WriteString(`{"Name": "f", "FailureDomains": ["north", "south", "west"], "Services": [`)
	for i := range services {
		fmt.Fprintf(&b, `{"Name": "s%d", "Kind": "Plain", "Calls": [{"Name": "Do"}]},`, i)
	}
	b.WriteString(`]}`)
	return b.String()
}

var testDomains = []string{"north", "south", "west"}

func TestOwnersAreSpreadAndBackedUpElsewhere(t *testing.T) {
	r := newReplica()
	for i := range 15 {
		r.open(t, fmt.Sprintf("host-%d", i), testDomains[i%3], uint64(i))
	}
	r.applyText(t, "op-1", 0, textOf(7))
	view := r.View()
	used := map[string]int{}
	for service, owner := range view.Owners {
		used[owner.Host]++
		used[owner.Backup]++
		require.NotEqual(t, view.Hosts[owner.Host].FailureDomain, view.Hosts[owner.Backup].FailureDomain, service)
	}
	require.Len(t, used, 14, "seven owners and seven backups on as many hosts")

	for i := range 15 {
		r.open(t, fmt.Sprintf("late-%d", i), testDomains[i%3], uint64(i))
	}
	require.Equal(t, view.Owners, r.View().Owners, "hosts that join take no service and no copy")

	owner := view.Owners["s0"]
	r.do(t, CloseSession{Session: owner.Session, Reason: CloseGraceful})
	next := r.View().Owners["s0"]
	require.Equal(t, owner.Backup, next.Host, "the backup holds the chats' memory")
	require.Greater(t, next.Fence, owner.Fence)
	require.NotEqual(t, next.Host, next.Backup)
	for service, kept := range view.Owners {
		if service != "s0" {
			require.Equal(t, kept.Fence, r.View().Owners[service].Fence, "only the lost owner is replaced")
		}
	}
}

func TestAnOwnerMovesOnlyByItself(t *testing.T) {
	r := newReplica()
	session := r.open(t, "host-1", "north", 1)
	r.applyText(t, "op-1", 0, textOf(1))
	owner := r.View().Owners["s0"]
	alone := r.do(t, MoveOwner{Service: "s0", Session: session, Fence: owner.Fence})
	require.ErrorIs(t, alone.Err(), ErrNoCandidate)
	require.Equal(t, owner, r.View().Owners["s0"])

	other := r.open(t, "host-2", "south", 2)
	require.Equal(t, session, r.View().Owners["s0"].Session, "a new session takes nothing")
	for _, wrong := range []MoveOwner{
		{Service: "s0", Session: other, Fence: owner.Fence},
		{Service: "s0", Session: session, Fence: owner.Fence + 1},
		{Service: "none", Session: session, Fence: owner.Fence},
	} {
		require.ErrorIs(t, r.do(t, wrong).Err(), ErrNotOwner)
	}
	moved := r.do(t, MoveOwner{Service: "s0", Session: session, Fence: owner.Fence})
	require.NoError(t, moved.Err())
	require.Equal(t, Owner{Host: "host-2", Session: other, Backup: "host-1", BackupSession: session, Fence: moved.Version}, r.View().Owners["s0"])

	again := MoveOwner{Service: "s0", Session: session, Fence: owner.Fence}
	r.restart(t)
	require.Equal(t, moved, r.do(t, again), "a resend after a lost answer is told the same")
	require.Equal(t, moved.Version, r.View().Owners["s0"].Fence)

	r.do(t, MoveOwner{Service: "s0", Session: other, Fence: moved.Version})
	repeated := r.do(t, MoveOwner{Service: "s0", Session: session, Fence: owner.Fence})
	require.ErrorIs(t, repeated.Err(), ErrNotOwner, "a late copy of the first move must not take the service from its owner")
}

func TestOwnersLeaveAFailureDomainThatIsOut(t *testing.T) {
	r := newReplica()
	for i := range 6 {
		r.open(t, fmt.Sprintf("host-%d", i), testDomains[i%3], uint64(i))
	}
	r.applyText(t, "op-1", 0, textOf(1))
	owner := r.View().Owners["s0"]
	domain := r.View().Hosts[owner.Host].FailureDomain
	require.False(t, r.View().ShouldMoveOwner("s0"))
	r.do(t, SetOutage{Operation: Operation{ID: "out"}, FailureDomain: domain, Out: true})
	view := r.View()
	require.True(t, view.DomainsOut[domain])
	require.True(t, view.IsOutOfService("target-1", domain))
	require.Equal(t, owner.Session, view.Owners["s0"].Session, "the owner is live and hands over by itself")
	require.True(t, view.ShouldMoveOwner("s0"))
	require.NoError(t, r.do(t, MoveOwner{Service: "s0", Session: owner.Session, Fence: owner.Fence}).Err())
	next := r.View().Owners["s0"]
	require.NotEqual(t, domain, r.View().Hosts[next.Host].FailureDomain)
	require.NotEqual(t, domain, r.View().Hosts[next.Backup].FailureDomain)
	require.False(t, r.View().ShouldMoveOwner("s0"))
	for _, name := range testDomains {
		r.do(t, SetOutage{Operation: Operation{ID: "out " + name}, FailureDomain: name, Out: true})
	}
	require.False(t, r.View().ShouldMoveOwner("s0"), "there is no better place")
}

// TestOwnershipRules runs random joins, losses, moves, outages and fleets.
func TestOwnershipRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplica()
		var sessions []uint64
		texts := 0
		rules := ownerRules{closed: map[uint64]bool{}, fences: map[string]uint64{}, view: r.View()}
		pick := func() uint64 { return rapid.SampledFrom(sessions).Draw(t, "session") }
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			rules.moved = ""
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 4 || len(sessions) == 0:
				host := rapid.IntRange(0, 7).Draw(t, "host")
				result := r.do(t, OpenSession{
					Host: fmt.Sprintf("host-%d", host), FailureDomain: testDomains[host%3],
					CanOwn: host != 7, ProcessNonce: rapid.Uint64Range(1, 3).Draw(t, "start"),
				})
				if result.Code == CodeOK {
					sessions = append(sessions, result.Session)
				}
			case action < 6:
				session := pick()
				r.do(t, CloseSession{Session: session, Reason: CloseGraceful})
				rules.closed[session] = true
			case action < 7:
				texts++
				r.do(t, ApplyFleet{Operation: Operation{ID: fmt.Sprint("text-", texts)}, BaseVersion: r.View().FleetVersion, Config: []byte(textOf(rapid.IntRange(1, 4).Draw(t, "services"))), Force: true})
			case action < 8:
				texts++
				r.do(t, SetOutage{Operation: Operation{ID: fmt.Sprint("out-", texts)}, FailureDomain: rapid.SampledFrom(testDomains).Draw(t, "domain"), Out: rapid.Bool().Draw(t, "out")})
			default:
				rules.moved = fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "service"))
				owner := r.View().Owners[rules.moved]
				r.do(t, MoveOwner{Service: rules.moved, Session: owner.Session, Fence: owner.Fence})
			}
			rules.check(t, r.View())
		}
	})
}

// ownerRules holds what the rules of ownership say about the next view.
type ownerRules struct {
	view   *View
	closed map[uint64]bool
	fences map[string]uint64
	// moved is the service that its owner gives up with the next command.
	moved string
}

func (o *ownerRules) check(t *rapid.T, view *View) {
	owned := map[uint64]int{}
	for service, owner := range view.Owners {
		owned[owner.Session]++
		require.False(t, o.closed[owner.Session], "an owner has a session")
		require.NotEqual(t, owner.Host, owner.Backup)
		if owner.Backup != "" {
			require.Equal(t, view.Hosts[owner.Backup].Session, owner.BackupSession, "a backup has an open session")
		}
		before, existed := o.view.Owners[service]
		if existed && before.Fence == owner.Fence {
			require.Equal(t, before.Session, owner.Session)
			continue
		}
		require.Greater(t, owner.Fence, o.fences[service], "the fence rises with each grant")
		require.Equal(t, view.Revision, owner.Fence)
		require.True(t, !existed || o.closed[before.Session] || service == o.moved, "a live owner keeps its service")
	}
	o.checkSpread(t, view, owned)
	for service, owner := range view.Owners {
		o.fences[service] = owner.Fence
	}
	o.view = view
}

// checkSpread: no host gets a second service while another one, in a failure
// domain that is not out, has none.
func (o *ownerRules) checkSpread(t *rapid.T, view *View, owned map[uint64]int) {
	able, idle, elsewhere := 0, 0, 0
	for _, host := range view.Hosts {
		if !host.CanOwn {
			continue
		}
		able++
		if view.DomainsOut[host.FailureDomain] || host.Session == o.view.Owners[o.moved].Session {
			continue
		}
		elsewhere++
		if owned[host.Session] == 0 {
			idle++
		}
	}
	if view.Fleet != nil && able > 0 {
		require.Len(t, view.Owners, len(view.Fleet.Services), "each service has an owner")
	}
	for service, owner := range view.Owners {
		if owner.Fence == o.view.Owners[service].Fence {
			continue
		}
		if owned[owner.Session] > 1 {
			require.Zero(t, idle, "service %s", service)
		}
		if view.DomainsOut[view.Hosts[owner.Host].FailureDomain] {
			require.Zero(t, elsewhere, "service %s went to a failure domain that is out", service)
		}
	}
}
