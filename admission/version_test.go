package admission

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A request that goes on with the response of a target gets a permit only for targets of that
// software version. While none of them has capacity it does not keep others waiting, and
// without any it is refused.
func TestAcquire_RequiredVersionIsKept(t *testing.T) {
	c := New(testConfig(), 3)
	for i, version := range []string{"v1", "v2", "v2"} {
		a := newAnnouncement(fmt.Sprintf("e%d", i), 1, 1)
		a.Version = version
		c.Import(start, ExportedState{Current: true, Targets: []ExportedTarget{{Announcement: a, MembershipStamp: a.Stamp, CompletedRequests: 100}}})
	}
	c.CompleteAdoption(start)
	forV1 := func(id string) Request {
		request := newRequest(id, "")
		request.Version, request.RequiresVersion = "v1", true
		return request
	}
	granted := map[string]bool{}
	for i := range 12 {
		c.Acquire(start, forV1(fmt.Sprint("one-", i)))
	}
	c.Acquire(start, newRequest("any", ""))
	for _, permit := range permitsOf(c.TakeEffects()) {
		granted[permit.RequestID] = true
		if permit.RequestID != "any" {
			require.Equal(t, "e0", permit.Target)
			require.Equal(t, "v1", permit.Version)
		}
	}
	require.True(t, granted["any"], "a request for any version is not kept waiting")
	require.NotEmpty(t, granted)

	unknown := newRequest("unknown", "")
	unknown.Version, unknown.RequiresVersion = "v3", true
	c.Acquire(start, unknown)
	require.Equal(t, map[string]RefusalCode{"unknown": RefusedNoTarget}, refusalCodesOf(c.TakeEffects()))
}
