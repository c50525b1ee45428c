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

// answer is what a caller got.
type answer struct {
	status int
	ran    string
	target string
	warm   bool
	body   []byte
	// err is set when no whole HTTP answer arrived.
	err error
}

// post sends one request to a host.
func post(address, call, chat, key string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/"+call, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
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
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	a := answer{
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

// whole checks that a stream is the whole answer to the body that was sent.
func whole(sent, got []byte, tokens int) error {
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
		return fmt.Errorf("no end mark after %d tokens", len(texts))
	}
	if len(texts) != tokens {
		return fmt.Errorf("%d tokens of %d", len(texts), tokens)
	}
	for i, text := range texts {
		if want := standin.Token(sent, i); text != want {
			return fmt.Errorf("token %d is %q, not %q", i, text, want)
		}
	}
	return nil
}

// load is a steady, bounded load of returning chats and payments.
type load struct {
	t     *testing.T
	hosts atomic.Pointer[func() []*node]

	chats    atomic.Int64
	warm     atomic.Int64
	refused  atomic.Int64
	broken   atomic.Int64
	payments atomic.Int64
	paid     atomic.Int64
	unknown  atomic.Int64

	slowestPayment atomic.Int64
	slowestChat    atomic.Int64

	mu sync.Mutex
	// notRun are the payments whose last answer said that they did not run.
	notRun map[string]bool
	faults []string
	// reasons counts the bodies of refusals.
	reasons map[string]int

	stop    chan struct{}
	workers sync.WaitGroup
}

const (
	chatTokens     = 12
	requestTimeout = 20 * time.Second
	chatPause      = 30 * time.Millisecond
	paymentPause   = 60 * time.Millisecond
)

func startLoad(t *testing.T, hosts func() []*node, chatters, payers int) *load {
	l := &load{t: t, notRun: map[string]bool{}, reasons: map[string]int{}, stop: make(chan struct{})}
	l.use(hosts)
	for i := range chatters {
		l.workers.Go(func() { l.chatter(i) })
	}
	for i := range payers {
		l.workers.Go(func() { l.payer(i) })
	}
	return l
}

func (l *load) fault(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, arguments...))
}

// reason counts a refusal; numbers are left out so that like ones add up.
func (l *load) reason(body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reasons[strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' {
			return -1
		}
		return r
	}, body)]++
}

// slow notes the longest time that a request took.
func (l *load) slow(slowest *atomic.Int64, what string, started time.Time) {
	took := time.Since(started)
	if int64(took) > slowest.Load() {
		slowest.Store(int64(took))
	}
	if took > slowRequest {
		l.t.Logf("%s took %s", what, took.Round(time.Millisecond))
	}
}

// slowRequest is what is worth a line in the test's output.
const slowRequest = 3 * time.Second

// next waits for the pause; false when the load is to end.
func (l *load) next(pause time.Duration) bool {
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

// use sends new requests to other hosts from now on, as a balancer does.
func (l *load) use(hosts func() []*node) { l.hosts.Store(&hosts) }

// settle waits until every request that runs now was started after it was
// called, so that none is under way to a host left out by use.
func (l *load) settle() {
	l.t.Helper()
	l.served(2 * settleChats)
}

// settleChats is more than the number of workers.
const settleChats = 16

func (l *load) chatter(worker int) {
	for n := 0; l.next(chatPause); n++ {
		body := fmt.Appendf(nil, `{"Tokens": %d, "Worker": %d, "Turn": %d}`, chatTokens, worker, n)
		chat := fmt.Sprintf("chat-%d-%d", worker, n%4)
		started := time.Now()
		got := post(l.host(worker+n).callers, "Dossiers/Review", chat, "", body, requestTimeout)
		l.slow(&l.slowestChat, "chat "+chat, started)
		switch {
		case got.err != nil:
			l.broken.Add(1)
		case got.status != http.StatusOK:
			l.refused.Add(1)
			l.reason(string(got.body))
		default:
			l.chats.Add(1)
			if got.warm {
				l.warm.Add(1)
			}
			if err := whole(body, got.body, chatTokens); err != nil {
				l.fault("chat %s turn %d: %v", chat, n, err)
			}
		}
	}
}

// payer sends each payment until it has an answer that is final, always with
// the same key.
func (l *load) payer(worker int) {
	for n := 0; l.next(paymentPause); n++ {
		key := fmt.Sprintf("payment-%d-%d", worker, n)
		l.payments.Add(1)
		l.pay(worker+n, key)
	}
}

func (l *load) pay(n int, key string) {
	defer l.slow(&l.slowestPayment, "payment "+key, time.Now())
	const sends = 4
	for try := range sends {
		got := post(l.host(n+try).callers, "Treasury/ReleasePayment", "", key, []byte(`{"Amount": 100}`), requestTimeout)
		switch {
		case got.err == nil && got.status == http.StatusOK:
			l.paid.Add(1)
			l.note(key, false)
			return
		case got.err == nil && got.ran == "No":
			l.note(key, true)
		default:
			l.note(key, false)
		}
	}
	l.unknown.Add(1)
}

func (l *load) note(key string, notRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notRun[key] = notRun
}

// served waits until the load has got that many more chat answers.
func (l *load) served(more int64) {
	l.t.Helper()
	from := l.chats.Load()
	eventually(l.t, fmt.Sprintf("%d more chats served", more), func() bool {
		return l.chats.Load() >= from+more
	})
}

// paidMore waits until the load has that many more payments.
func (l *load) paidMore(more int64) {
	l.t.Helper()
	from := l.paid.Load()
	eventually(l.t, fmt.Sprintf("%d more payments released", more), func() bool {
		return l.paid.Load() >= from+more
	})
}

// finish ends the load and checks what must always hold.
func (l *load) finish(treasuries ...*standin.PlainService) {
	l.t.Helper()
	close(l.stop)
	l.workers.Wait()
	l.t.Logf("chats %d, warm %d, refused %d, broken %d; payments %d, paid %d, unknown %d",
		l.chats.Load(), l.warm.Load(), l.refused.Load(), l.broken.Load(),
		l.payments.Load(), l.paid.Load(), l.unknown.Load())
	l.t.Logf("slowest chat %s, slowest payment %s",
		time.Duration(l.slowestChat.Load()).Round(time.Millisecond), time.Duration(l.slowestPayment.Load()).Round(time.Millisecond))
	for reason, count := range l.reasons {
		l.t.Logf("refused %d times: %s", count, reason)
	}
	require.Empty(l.t, l.faults, "answers that are not whole")
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, notRun := range l.notRun {
		runs := 0
		for _, treasury := range treasuries {
			runs += treasury.RunsByKey(key)
		}
		require.LessOrEqual(l.t, runs, 1, "payment %s ran more than once", key)
		if notRun {
			require.Zero(l.t, runs, "payment %s was told not to have run", key)
		}
	}
}
