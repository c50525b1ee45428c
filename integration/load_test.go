package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/standin"
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func get(url string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// callResult is the response to a call, or the error if there is none.
type callResult struct {
	status int
	ran    string
	target string
	warm   bool
	body   []byte
	// err is set if no complete HTTP response arrived.
	err error
}

// post sends one request to a host. The client's own timeout is 5 s longer than the
// timeout that it sends to the host.
func post(address, call, chat, key string, body []byte, timeout time.Duration) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/"+call, bytes.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set("Comfreytiller-Workspace", "CaseOfficers")
	request.Header.Set("Comfreytiller-Timeout", timeout.String())
	if chat != "" {
		request.Header.Set("Comfreytiller-Chat", chat)
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	a := callResult{
		status: response.StatusCode,
		target: response.Header.Get("Comfreytiller-Target"),
		warm:   response.Header.Get("Comfreytiller-Warm") == "true",
		body:   got,
		err:    err,
	}
	if a.status != http.StatusOK {
		var failure struct{ Ran string }
		_ = json.Unmarshal(got, &failure)
		a.ran = failure.Ran
	}
	return a
}

// checkStream returns an error if a stream is not the complete response to the body
// that was sent.
func checkStream(sent, got []byte, tokens int) error {
	scanner := bufio.NewScanner(bytes.NewReader(got))
	var texts []string
	ended := false
	name := ""
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "event: "):
			name = strings.TrimPrefix(line, "event: ")
		case strings.HasPrefix(line, "data: ") && name == "token":
			var token struct{ Text string }
			if err := json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &token); err != nil {
				return err
			}
			texts = append(texts, token.Text)
		case strings.HasPrefix(line, "data: ") && name == "end":
			ended = true
		}
	}
	if !ended {
		return fmt.Errorf("no end event after %d tokens", len(texts))
	}
	if len(texts) != tokens {
		return fmt.Errorf("got %d tokens, expected %d", len(texts), tokens)
	}
	for i, text := range texts {
		if expected := standin.Token(sent, i); text != expected {
			return fmt.Errorf("token %d is %q, expected %q", i, text, expected)
		}
	}
	return nil
}

// load generates a steady, bounded load of returning chats and payments.
type load struct {
	t     *testing.T
	hosts atomic.Pointer[func() []*node]

	// chats counts completed chat requests and incomplete those without a complete HTTP
	// response. paid counts payments with a successful response and unknown those
	// without a final one.
	chats      atomic.Int64
	warm       atomic.Int64
	refused    atomic.Int64
	incomplete atomic.Int64
	payments   atomic.Int64
	paid       atomic.Int64
	unknown    atomic.Int64

	slowestPayment atomic.Int64
	slowestChat    atomic.Int64

	mu sync.Mutex
	// notRun holds the payments whose last response reported that they did not run.
	notRun           map[string]bool
	invalidResponses []string
	// refusalCounts counts refusals by the body of the response.
	refusalCounts map[string]int

	stop    chan struct{}
	workers sync.WaitGroup
}

const (
	chatTokens     = 12
	requestTimeout = 20 * time.Second
	chatPause      = 30 * time.Millisecond
	paymentPause   = 60 * time.Millisecond
)

func startLoad(t *testing.T, hosts func() []*node, chatWorkers, paymentWorkers int) *load {
	l := &load{t: t, notRun: map[string]bool{}, refusalCounts: map[string]int{}, stop: make(chan struct{})}
	l.setHosts(hosts)
	for i := range chatWorkers {
		l.workers.Go(func() { l.sendChats(i) })
	}
	for i := range paymentWorkers {
		l.workers.Go(func() { l.sendPayments(i) })
	}
	return l
}

func (l *load) recordInvalid(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.invalidResponses = append(l.invalidResponses, fmt.Sprintf(format, arguments...))
}

// countRefusal counts a refusal by its body. Digits are removed, so that messages that
// differ only in numbers are counted together.
func (l *load) countRefusal(body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusalCounts[strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' {
			return -1
		}
		return r
	}, body)]++
}

// recordLatency updates the maximum latency and logs slow requests.
func (l *load) recordLatency(slowest *atomic.Int64, what string, started time.Time) {
	took := time.Since(started)
	if int64(took) > slowest.Load() {
		slowest.Store(int64(took))
	}
	if took > slowRequest {
		l.t.Logf("%s took %s", what, took.Round(time.Millisecond))
	}
}

// slowRequest is the latency from which a request is logged.
const slowRequest = 3 * time.Second

// waitUnlessStopped waits for the pause. It returns false if the load was stopped.
func (l *load) waitUnlessStopped(pause time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(pause):
		return true
	}
}

func (l *load) host(n int) *node {
	hosts := (*l.hosts.Load())()
	return hosts[n%len(hosts)]
}

// setHosts sets the hosts that new requests are sent to, like a load balancer.
func (l *load) setHosts(hosts func() []*node) { l.hosts.Store(&hosts) }

// awaitOldRequests waits until every request that was in flight at the call has ended,
// so that none is in flight to a host that setHosts has removed.
func (l *load) awaitOldRequests() {
	l.t.Helper()
	l.awaitChats(2 * workerBound)
}

// workerBound is greater than the number of workers.
const workerBound = 16

func (l *load) sendChats(worker int) {
	for n := 0; l.waitUnlessStopped(chatPause); n++ {
		body := fmt.Appendf(nil, `{"Tokens": %d, "Worker": %d, "Turn": %d}`, chatTokens, worker, n)
		chat := fmt.Sprintf("chat-%d-%d", worker, n%4)
		started := time.Now()
		got := post(l.host(worker+n).callers, "Dossiers/Review", chat, "", body, requestTimeout)
		l.recordLatency(&l.slowestChat, "chat "+chat, started)
		switch {
		case got.err != nil:
			l.incomplete.Add(1)
		case got.status != http.StatusOK:
			l.refused.Add(1)
			l.countRefusal(string(got.body))
		default:
			l.chats.Add(1)
			if got.warm {
				l.warm.Add(1)
			}
			if err := checkStream(body, got.body, chatTokens); err != nil {
				l.recordInvalid("chat %s turn %d: %v", chat, n, err)
			}
		}
	}
}

// sendPayments sends payments one after the other. It sends each one with the same key
// until the response is final, at most four times.
func (l *load) sendPayments(worker int) {
	for n := 0; l.waitUnlessStopped(paymentPause); n++ {
		key := fmt.Sprintf("payment-%d-%d", worker, n)
		l.payments.Add(1)
		l.pay(worker+n, key)
	}
}

func (l *load) pay(n int, key string) {
	defer l.recordLatency(&l.slowestPayment, "payment "+key, time.Now())
	const sends = 4
	for attempt := range sends {
		got := post(l.host(n+attempt).callers, "Treasury/ReleasePayment", "", key, []byte(`{"Amount": 100}`), requestTimeout)
		switch {
		case got.err == nil && got.status == http.StatusOK:
			l.paid.Add(1)
			l.recordOutcome(key, false)
			return
		case got.err == nil && got.ran == "No":
			l.recordOutcome(key, true)
		default:
			l.recordOutcome(key, false)
		}
	}
	l.unknown.Add(1)
}

func (l *load) recordOutcome(key string, notRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRun[key] = notRun
}

// awaitChats waits until the given number of further chat requests have completed.
func (l *load) awaitChats(more int64) {
	l.t.Helper()
	from := l.chats.Load()
	eventually(l.t, fmt.Sprintf("%d more chats completed", more), func() bool {
		return l.chats.Load() >= from+more
	})
}

// awaitPayments waits until the given number of further payments have succeeded.
func (l *load) awaitPayments(more int64) {
	l.t.Helper()
	from := l.paid.Load()
	eventually(l.t, fmt.Sprintf("%d more payments succeeded", more), func() bool {
		return l.paid.Load() >= from+more
	})
}

// finish stops the load and checks the invariants: every successful chat response
// is complete, no payment ran twice, and none ran that was reported as not run.
func (l *load) finish(treasuries ...*standin.PlainService) {
	l.t.Helper()
	close(l.stop)
	l.workers.Wait()
	l.t.Logf("chats %d, warm %d, refused %d, incomplete %d; payments %d, paid %d, unknown %d",
		l.chats.Load(), l.warm.Load(), l.refused.Load(), l.incomplete.Load(),
		l.payments.Load(), l.paid.Load(), l.unknown.Load())
	l.t.Logf("slowest chat %s, slowest payment %s",
		time.Duration(l.slowestChat.Load()).Round(time.Millisecond), time.Duration(l.slowestPayment.Load()).Round(time.Millisecond))
	for reason, count := range l.refusalCounts {
		l.t.Logf("refused %d times: %s", count, reason)
	}
	require.Empty(l.t, l.invalidResponses, "invalid chat responses")
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, notRun := range l.notRun {
		runs := 0
		for _, treasury := range treasuries {
			runs += treasury.RunsByKey(key)
		}
		require.LessOrEqual(l.t, runs, 1, "payment %s ran more than once", key)
		if notRun {
			require.Zero(l.t, runs, "payment %s ran although the response reported that it did not", key)
		}
	}
}
