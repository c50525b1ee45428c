package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const payment = "Treasury/ReleasePayment"

// Two hosts receive the same payment concurrently. Guards against a duplicate run: the
// payment must run once, and a retry through any host must get the complete response
// of that run.
func TestTwoHostsRaceWithOneKey(t *testing.T) {
	s := newSystem(t, 6, 3)
	body := []byte(`{"Amount": 100}`)
	for n := range 20 {
		key := fmt.Sprintf("raced-%d", n)
		results := make([]callResult, 2)
		var requests sync.WaitGroup
		for i := range results {
			requests.Go(func() {
				results[i] = post(s.nodes[(n+i)%len(s.nodes)].callers, payment, "", key, body, requestTimeout)
			})
		}
		requests.Wait()
		var first []byte
		for _, got := range results {
			require.NoError(t, got.err)
			if got.status == http.StatusOK {
				first = got.body
				continue
			}
			require.Equal(t, http.StatusConflict, got.status, "%s", got.body)
			require.NotEqual(t, "No", got.ran, "the payment runs, so the rejected request must not report otherwise: %s", got.body)
		}
		require.NotNil(t, first, "neither host released the payment")
		for _, host := range s.nodes {
			retried := post(host.callers, payment, "", key, body, requestTimeout)
			require.Equal(t, http.StatusOK, retried.status, "%s", retried.body)
			require.Equal(t, first, retried.body, "a retry must get the response of the run")
		}
		s.requireRuns(key, 1)
	}
}

// An idempotency key that is reused with a different body is a conflict; the second
// request must not run.
func TestIdempotencyKey_DifferentBodyConflicts(t *testing.T) {
	s := newSystem(t, 3, 1)
	first := post(s.nodes[0].callers, payment, "", "order-1", []byte(`{"Amount": 100}`), requestTimeout)
	require.Equal(t, http.StatusOK, first.status, "%s", first.body)
	for _, host := range s.nodes {
		conflicting := post(host.callers, payment, "", "order-1", []byte(`{"Amount": 900}`), requestTimeout)
		require.Equal(t, http.StatusConflict, conflicting.status, "%s", conflicting.body)
		require.Equal(t, "No", conflicting.ran)
	}
	s.requireRuns("order-1", 1)
}

// The host that dispatched a payment is killed before the response. The claim must then
// be in doubt, the payment must not be dispatched again, and after an operator settles
// the claim, callers must get that decision.
func TestClaimInDoubt_SettledByOperator(t *testing.T) {
	s := newSystem(t, 6, 3)
	for _, treasury := range s.treasuries {
		treasury.Inject(silentOnce)
	}
	victim := s.nodes[5]
	answered := make(chan callResult, 1)
	go func() {
		answered <- post(victim.callers, payment, "", "lost", []byte(`{"Amount": 100}`), requestTimeout)
	}()
	eventually(t, "the payment is in flight", func() bool { return s.paymentsInFlight() > 0 })
	s.kill(victim)
	require.Error(t, (<-answered).err)
	for _, treasury := range s.treasuries {
		treasury.Clear()
	}

	retry := func() callResult {
		return post(s.nodes[0].callers, payment, "", "lost", []byte(`{"Amount": 100}`), requestTimeout)
	}
	eventually(t, "the claim is in doubt", func() bool {
		got := retry()
		require.NotEqual(t, http.StatusOK, got.status, "%s", got.body)
		require.NotEqual(t, "No", got.ran, "it is unknown whether the payment ran: %s", got.body)
		return got.status == http.StatusBadGateway
	})
	out := s.mustRunTool(s.nodes[0], "claims", "list", "--State", "InDoubt")
	require.Contains(t, out, "lost")
	s.mustRunTool(s.nodes[0], "claims", "settle", "--Workspace", "CaseOfficers", "--Service", "Treasury",
		"--Key", "lost", "--Ran", "No", "--Note", "not in the ledger")
	got := retry()
	require.Equal(t, http.StatusConflict, got.status, "%s", got.body)
	require.Equal(t, "No", got.ran)
}
