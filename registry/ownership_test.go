package registry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// plainServicesConfig returns a fleet configuration with the given number of plain
// services and three failure domains.
func plainServicesConfig(services int) string {
	var b strings.Builder
	b.WriteString(`{"Name": "f", "FailureDomains": ["north", "south", "west"], "Services": [`)
	for i := range services {
		fmt.Fprintf(&b, `{"Name": "s%d", "Kind": "Plain", "Calls": [{"Name": "Do"}]},`, i)
	}
	b.WriteString(`]}`)
	return b.String()
}

var testDomains = []string{"north", "south", "west"}

func TestAssignOwners_SpreadAndBackup(t *testing.T) {
	r := newReplica()
	for i := range 15 {
		r.mustOpenSession(t, fmt.Sprintf("host-%d", i), testDomains[i%3], uint64(i))
	}
	r.applyFleetConfig(t, "op-1", 0, plainServicesConfig(7))
	view := r.View()
	used := map[string]int{}
	for service, owner := range view.Owners {
		used[owner.Host]++
		used[owner.Backup]++
		require.NotEqual(t, view.Hosts[owner.Host].FailureDomain, view.Hosts[owner.Backup].FailureDomain, service)
	}
	require.Len(t, used, 14, "seven owners and seven backups on 14 different hosts")

	for i := range 15 {
		r.mustOpenSession(t, fmt.Sprintf("late-%d", i), testDomains[i%3], uint64(i))
	}
	require.Equal(t, view.Owners, r.View().Owners, "new hosts take over no service and no backup")

	owner := view.Owners["s0"]
	r.applyCommand(t, CloseSession{Session: owner.Session, Reason: CloseGraceful})
	next := r.View().Owners["s0"]
	require.Equal(t, owner.Backup, next.Host, "the backup holds the chat state")
	require.Greater(t, next.Fence, owner.Fence)
	require.NotEqual(t, next.Host, next.Backup)
	for service, kept := range view.Owners {
		if service != "s0" {
			require.Equal(t, kept.Fence, r.View().Owners[service].Fence, "only the lost owner is replaced")
		}
	}
}

func TestMoveOwner_OnlyByOwner(t *testing.T) {
	r := newReplica()
	session := r.mustOpenSession(t, "host-1", "north", 1)
	r.applyFleetConfig(t, "op-1", 0, plainServicesConfig(1))
	owner := r.View().Owners["s0"]
	alone := r.applyCommand(t, MoveOwner{Service: "s0", Session: session, Fence: owner.Fence})
	require.ErrorIs(t, alone.Err(), ErrNoCandidate)
	require.Equal(t, owner, r.View().Owners["s0"])

	other := r.mustOpenSession(t, "host-2", "south", 2)
	require.Equal(t, session, r.View().Owners["s0"].Session, "a new session takes over no service")
	for _, wrong := range []MoveOwner{
		{Service: "s0", Session: other, Fence: owner.Fence},
		{Service: "s0", Session: session, Fence: owner.Fence + 1},
		{Service: "none", Session: session, Fence: owner.Fence},
	} {
		require.ErrorIs(t, r.applyCommand(t, wrong).Err(), ErrNotOwner)
	}
	moved := r.applyCommand(t, MoveOwner{Service: "s0", Session: session, Fence: owner.Fence})
	require.NoError(t, moved.Err())
	require.Equal(t, Owner{Host: "host-2", Session: other, Backup: "host-1", BackupSession: session, Fence: moved.Version}, r.View().Owners["s0"])

	again := MoveOwner{Service: "s0", Session: session, Fence: owner.Fence}
	r.restart(t)
	require.Equal(t, moved, r.applyCommand(t, again), "a retry after a lost response gets the same result")
	require.Equal(t, moved.Version, r.View().Owners["s0"].Fence)

	r.applyCommand(t, MoveOwner{Service: "s0", Session: other, Fence: moved.Version})
	repeated := r.applyCommand(t, MoveOwner{Service: "s0", Session: session, Fence: owner.Fence})
	require.ErrorIs(t, repeated.Err(), ErrNotOwner, "a delayed duplicate of the first move must not take the service from its owner")
}

func TestShouldMoveOwner_FailureDomainOut(t *testing.T) {
	r := newReplica()
	for i := range 6 {
		r.mustOpenSession(t, fmt.Sprintf("host-%d", i), testDomains[i%3], uint64(i))
	}
	r.applyFleetConfig(t, "op-1", 0, plainServicesConfig(1))
	owner := r.View().Owners["s0"]
	domain := r.View().Hosts[owner.Host].FailureDomain
	require.False(t, r.View().ShouldMoveOwner("s0"))
	r.applyCommand(t, SetOutage{Operation: Operation{ID: "out"}, FailureDomain: domain, Out: true})
	view := r.View()
	require.True(t, view.DomainsOut[domain])
	require.True(t, view.IsOutOfService("target-1", domain))
	require.Equal(t, owner.Session, view.Owners["s0"].Session, "the owner is open and must propose the move itself")
	require.True(t, view.ShouldMoveOwner("s0"))
	require.NoError(t, r.applyCommand(t, MoveOwner{Service: "s0", Session: owner.Session, Fence: owner.Fence}).Err())
	next := r.View().Owners["s0"]
	require.NotEqual(t, domain, r.View().Hosts[next.Host].FailureDomain)
	require.NotEqual(t, domain, r.View().Hosts[next.Backup].FailureDomain)
	require.False(t, r.View().ShouldMoveOwner("s0"))
	for _, name := range testDomains {
		r.applyCommand(t, SetOutage{Operation: Operation{ID: "out " + name}, FailureDomain: name, Out: true})
	}
	require.False(t, r.View().ShouldMoveOwner("s0"), "no host is in a failure domain in service")
}

// TestOwnership_Invariants checks the ownership rules while sessions are opened and
// closed, services are moved, and outages and configurations change at random.
func TestOwnership_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplica()
		var sessions []uint64
		operationCount := 0
		rules := ownershipChecker{closedSessions: map[uint64]bool{}, lastFences: map[string]uint64{}, previousView: r.View()}
		pick := func() uint64 { return rapid.SampledFrom(sessions).Draw(t, "session") }
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			rules.movedService = ""
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 4 || len(sessions) == 0:
				host := rapid.IntRange(0, 7).Draw(t, "host")
				result := r.applyCommand(t, OpenSession{
					Host: fmt.Sprintf("host-%d", host), FailureDomain: testDomains[host%3],
					CanOwn: host != 7, ProcessNonce: rapid.Uint64Range(1, 3).Draw(t, "start"),
				})
				if result.Code == CodeOK {
					sessions = append(sessions, result.Session)
				}
			case action < 6:
				session := pick()
				r.applyCommand(t, CloseSession{Session: session, Reason: CloseGraceful})
				rules.closedSessions[session] = true
			case action < 7:
				operationCount++
				r.applyCommand(t, ApplyFleet{Operation: Operation{ID: fmt.Sprint("text-", operationCount)}, BaseVersion: r.View().FleetVersion, Config: []byte(plainServicesConfig(rapid.IntRange(1, 4).Draw(t, "services"))), Force: true})
			case action < 8:
				operationCount++
				r.applyCommand(t, SetOutage{Operation: Operation{ID: fmt.Sprint("out-", operationCount)}, FailureDomain: rapid.SampledFrom(testDomains).Draw(t, "domain"), Out: rapid.Bool().Draw(t, "out")})
			default:
				rules.movedService = fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "service"))
				owner := r.View().Owners[rules.movedService]
				r.applyCommand(t, MoveOwner{Service: rules.movedService, Session: owner.Session, Fence: owner.Fence})
			}
			rules.check(t, r.View())
		}
	})
}

// ownershipChecker checks the ownership rules between consecutive views.
type ownershipChecker struct {
	previousView   *View
	closedSessions map[uint64]bool
	lastFences     map[string]uint64
	// movedService is the service that its owner releases with the next command.
	movedService string
}

func (o *ownershipChecker) check(t *rapid.T, view *View) {
	owned := map[uint64]int{}
	for service, owner := range view.Owners {
		owned[owner.Session]++
		require.False(t, o.closedSessions[owner.Session], "the session of an owner is not closed")
		require.NotEqual(t, owner.Host, owner.Backup)
		if owner.Backup != "" {
			require.Equal(t, view.Hosts[owner.Backup].Session, owner.BackupSession, "a backup has an open session")
		}
		before, existed := o.previousView.Owners[service]
		if existed && before.Fence == owner.Fence {
			require.Equal(t, before.Session, owner.Session)
			continue
		}
		require.Greater(t, owner.Fence, o.lastFences[service], "the fencing token increases with each grant")
		require.Equal(t, view.Revision, owner.Fence)
		require.True(t, !existed || o.closedSessions[before.Session] || service == o.movedService, "an owner with a session keeps its service")
	}
	o.checkSpread(t, view, owned)
	for service, owner := range view.Owners {
		o.lastFences[service] = owner.Fence
	}
	o.previousView = view
}

// checkSpread checks that no host gets a second service while another host in a
// failure domain in service has none.
func (o *ownershipChecker) checkSpread(t *rapid.T, view *View, owned map[uint64]int) {
	able, idle, elsewhere := 0, 0, 0
	for _, host := range view.Hosts {
		if !host.CanOwn {
			continue
		}
		able++
		if view.DomainsOut[host.FailureDomain] || host.Session == o.previousView.Owners[o.movedService].Session {
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
		if owner.Fence == o.previousView.Owners[service].Fence {
			continue
		}
		if owned[owner.Session] > 1 {
			require.Zero(t, idle, "service %s", service)
		}
		if view.DomainsOut[view.Hosts[owner.Host].FailureDomain] {
			require.Zero(t, elsewhere, "service %s was assigned to a failure domain that is out of service", service)
		}
	}
}
