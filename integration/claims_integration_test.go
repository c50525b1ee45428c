package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const payment = "Treasury/ReleasePayment"

// Two hosts get the same payment at the same moment; it runs once, and a resend
// through any host gets the whole answer.
func TestTwoHostsRaceWithOneKey(t *testing.T) {
	s := newSystem(t, 6, 3)
	body := []byte(`{"Amount": 100}`)
	for n := range 20 {
		key := fmt.Sprintf("raced-%d", n)
		answers := make([]answer, 2)
		var racing sync.WaitGroup
		for i := range answers {
			racing.Go(func() {
				answers[i] = post(s.nodes[(n+i)%len(s.nodes)].callers, payment, "", key, body, requestTimeout)
			})
		}
		racing.Wait()
		var first []byte
		for _, got := range answers {
			require.NoError(t, got.err)
			if got.status == http.StatusOK {
				first = got.body
				continue
			}
			require.Equal(t, http.StatusConflict, got.status, "%s", got.body)
			require.NotEqual(t, "No", got.ran, "the payment runs, whoever lost the race: %s", got.body)
		}
		require.NotNil(t, first, "neither host released the payment")
		for _, host := range s.nodes {
			again := post(host.callers, payment, "", key, body, requestTimeout)
			require.Equal(t, http.StatusOK, again.status, "%s", again.body)
			require.Equal(t, first, again.body, "a resend gets the answer of the run")
		}
		s.requireRuns(key, 1)
	}
}

// A key that was used with another body is a conflict and runs nothing.
func TestKeyWithAnotherBodyRunsNothing(t *testing.T) {
	s := newSystem(t, 3, 1)
	first := post(s.nodes[0].callers, payment, "", "order-1", []byte(`{"Amount": 100}`), requestTimeout)
	require.Equal(t, http.StatusOK, first.status, "%s", first.body)
	for _, host := range s.nodes {
		other := post(host.callers, payment, "", "order-1", []byte(`{"Amount": 900}`), requestTimeout)
		require.Equal(t, http.StatusConflict, other.status, "%s", other.body)
		require.Equal(t, "No", other.ran)
	}
	s.requireRuns("order-1", 1)
}

// The host that sent a payment is killed before the answer: the claim is in
// doubt, nothing sends it again, and the operators' verdict is what callers get.
func TestPaymentInDoubtIsSettledByOperators(t *testing.T) {
	s := newSystem(t, 6, 3)
	for _, treasury := range s.treasuries {
		treasury.Inject(silentOnce)
	}
	victim := s.nodes[5]
	answered := make(chan answer, 1)
	go func() {
		answered <- post(victim.callers, payment, "", "lost", []byte(`{"Amount": 100}`), requestTimeout)
	}()
	eventually(t, "the payment is on its way", func() bool { return s.paying() > 0 })
	s.kill(victim)
	require.Error(t, (<-answered).err)
	for _, treasury := range s.treasuries {
		treasury.Clear()
	}

	resend := func() answer {
		return post(s.nodes[0].callers, payment, "", "lost", []byte(`{"Amount": 100}`), requestTimeout)
	}
	eventually(t, "the claim is in doubt", func() bool {
		got := resend()
		require.NotEqual(t, http.StatusOK, got.status, "%s", got.body)
		require.NotEqual(t, "No", got.ran, "nobody knows that it has not run: %s", got.body)
		return got.status == http.StatusBadGateway
	})
	out := s.mustOperate(s.nodes[0], "claims", "list", "--State", "InDoubt")
	require.Contains(t, out, "lost")
	s.mustOperate(s.nodes[0], "claims", "settle", "--Workspace", "CaseOfficers", "--Service", "Treasury",
		"--Key", "lost", "--Ran", "No", "--Note", "not in the ledger")
	got := resend()
	require.Equal(t, http.StatusConflict, got.status, "%s", got.body)
	require.Equal(t, "No", got.ran)
}
