package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// After a loss of power all 141 hosts came to the one hub of five that had contact first. Those
// that come once others can serve are spread, and none is sent away twice.
func TestHostBalance_OneHubOfFiveDoesNotGetAll(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newHostBalance(clock)
	require.Empty(t, b.redirect("e-0", 141, false), "no other hub can serve")
	for i := range 4 {
		b.recordReport(fmt.Sprint("h-", i), 0, i < 3)
	}
	served, sent := 60, map[string]int{}
	for i := range 81 {
		host := fmt.Sprint("e-", i)
		if hubs := b.redirect(host, served, false); len(hubs) > 0 {
			sent[hubs[0]]++
			require.Empty(t, b.redirect(host, served, false), "a host is sent away once")
			continue
		}
		served++
	}
	require.Len(t, sent, 3, "the hub without contact gets none")
	for hub, hosts := range sent {
		require.InDelta(t, 26, hosts, 3, hub)
	}
	require.Equal(t, 81, sent["h-0"]+sent["h-1"]+sent["h-2"]+served-60)
	require.Equal(t, sent["h-0"]+sent["h-1"]+sent["h-2"], b.takeCount())
	clock.Advance(hubReportTTL + time.Millisecond)
	require.Empty(t, b.redirect("e-200", 1000, false), "the other hubs are silent")
}

// At a first start hosts know three of five hubs, and came to two of them before any hub had
// reported what it serves. A hub sends some of them on, a few at a time.
func TestHostBalance_FullHubSendsServedHostsOn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newHostBalance(clock)
	others := map[string]int{"h-0": 40, "h-1": 40, "h-2": 40, "h-3": 40}
	served := 140
	for i := range 140 {
		for hub, hosts := range others {
			b.recordReport(hub, hosts, true)
		}
		host := fmt.Sprint("e-", i)
		hubs := b.redirect(host, served, true)
		if len(hubs) == 0 {
			continue
		}
		others[hubs[0]]++
		served--
		require.Empty(t, b.redirect(fmt.Sprint(host, "-next"), served, true), "one at a time")
		clock.Advance(moveInterval)
	}
	require.InDelta(t, fullFactor*60+fullMargin, served, 2, "until it is no fuller than others may be")
}

// Hosts that choose their hubs by hash differ in number; no hub sends them away for that.
func TestHostBalance_UsualDifferencesAreKept(t *testing.T) {
	b := newHostBalance(clockwork.NewFakeClock())
	for i, hosts := range []int{20, 22, 31, 33} {
		b.recordReport(fmt.Sprint("h-", i), hosts, true)
	}
	require.Empty(t, b.redirect("e-1", 35, false))
	require.Equal(t, []string{"h-0", "h-1"}, b.redirect("e-2", 60, false)[:2])
}

// A hub that lost contact for a moment sent all its hosts to the others. It keeps them while
// contact may come back, but not once it is lost for good.
func TestMajorityContact_KeepsHostsForAMoment(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newMajorityContact(clock)
	require.Equal(t, startWait, c.keep())
	c.confirm(clock.Now())
	clock.Advance(contactTTL)
	require.Equal(t, keptWait, c.keep())
	clock.Advance(momentaryLoss)
	require.Zero(t, c.keep())
}

// A host without a view that came to hubs without contact asked one after the other. A hub
// names those that can serve, and not all hosts the same one.
func TestHostBalance_NamesHubsThatServe(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newHostBalance(clock)
	require.Empty(t, b.serving())
	b.recordReport("h-1", 4, true)
	b.recordReport("h-2", 3, true)
	b.recordReport("h-3", 0, false)
	require.Equal(t, []string{"h-2", "h-1"}, b.serving())
	require.Equal(t, []string{"h-1", "h-2"}, b.serving())
	require.Equal(t, []string{"h-2", "h-1"}, b.serving())
	clock.Advance(hubReportTTL + time.Millisecond)
	require.Empty(t, b.serving())
}
