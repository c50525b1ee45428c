package standin

import (
	"encoding/json"
	"sync"
	"time"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/web"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// messageTimeout bounds one message to a host.
const messageTimeout = 2 * time.Second

// maxMessages bounds the messages that wait to be sent; more are lost.
const maxMessages = 4096

// announced is what an announcer asks of its target.
type announced interface {
	announcement() target.Announcement
	loadReport() target.LoadReport
}

// announcer sends a target's messages to the hosts, to the next host when one
// does not answer.
type announcer struct {
	clock     clockwork.Clock
	hosts     []string
	sharedKey string
	heartbeat time.Duration
	target    announced
	done      chan struct{}
	messages  chan func() error
	running   sync.WaitGroup
	client    fasthttp.Client

	// host is the index of the host that answered last; only the loop uses it.
	host int

	mu               sync.Mutex
	incarnation      uint64
	sequence         uint64
	eventIncarnation uint64
	eventSeq         uint64
	lostEvents       int
	// eventLag is how late cache events are sent.
	eventLag time.Duration
}

func newAnnouncer(clock clockwork.Clock, hosts []string, key string, heartbeat time.Duration, t announced, done chan struct{}) *announcer {
	return &announcer{
		clock: clock, hosts: hosts, sharedKey: key, heartbeat: heartbeat, target: t, done: done,
		messages: make(chan func() error, maxMessages),
	}
}

// start announces the target and begins its heartbeat.
func (a *announcer) start() {
	if len(a.hosts) == 0 {
		return
	}
	a.announce()
	a.running.Add(1)
	go a.loop()
}

func (a *announcer) wait() { a.running.Wait() }

func (a *announcer) loop() {
	defer a.running.Done()
	var beat <-chan time.Time
	if a.heartbeat > 0 {
		ticker := a.clock.NewTicker(a.heartbeat)
		defer ticker.Stop()
		beat = ticker.Chan()
	}
	for {
		select {
		case <-a.done:
			return
		case send := <-a.messages:
			_ = send()
		case <-beat:
			_ = a.sendLoad()
		}
	}
}

func (a *announcer) enqueue(send func() error) {
	if len(a.hosts) == 0 {
		return
	}
	select {
	case a.messages <- send:
	default:
	}
}

// announce sends an announcement with the target's fields of that time.
func (a *announcer) announce() { a.enqueue(a.sendAnnouncement) }

// leave says that the target takes no new work.
func (a *announcer) leave() {
	a.enqueue(func() error {
		name, stamp := a.stamp()
		service := a.target.announcement().Service
		body, err := web.EncodeLeave(target.Leave{Name: name, Stamp: stamp, Service: service})
		if err != nil {
			return err
		}
		return a.post(web.PathLeave, body)
	})
}

// loseEvents drops the next n cache events, which leaves a gap.
func (a *announcer) loseEvents(n int) {
	a.mu.Lock()
	a.lostEvents += n
	a.mu.Unlock()
}

// event sends a cache event. Its number is taken now, so that events keep their
// order.
func (a *announcer) event(incarnation uint64, change target.CacheChange, chats []string) {
	a.mu.Lock()
	if incarnation != a.eventIncarnation {
		a.eventIncarnation = incarnation
		a.eventSeq = 0
	}
	a.eventSeq++
	stamp := target.Stamp{Incarnation: incarnation, Sequence: a.eventSeq}
	if a.lostEvents > 0 {
		a.lostEvents--
		a.mu.Unlock()
		return
	}
	a.mu.Unlock()
	send := func() error {
		now := a.target.announcement()
		body, err := web.EncodeCacheEvent(target.CacheEvent{
			Name: now.Name, Service: now.Service, Change: change, Chats: chats, Stamp: stamp,
		})
		if err != nil {
			return err
		}
		return a.post(web.PathCacheEvents, body)
	}
	if a.eventLag <= 0 {
		a.enqueue(send)
		return
	}
	a.clock.AfterFunc(a.eventLag, func() { a.enqueue(send) })
}

// stamp numbers the next message; a new incarnation starts again at 1.
func (a *announcer) stamp() (string, target.Stamp) {
	announcement := a.target.announcement()
	a.mu.Lock()
	defer a.mu.Unlock()
	if announcement.Incarnation != a.incarnation {
		a.incarnation = announcement.Incarnation
		a.sequence = 0
	}
	a.sequence++
	return announcement.Name, target.Stamp{Incarnation: a.incarnation, Sequence: a.sequence}
}

func (a *announcer) sendAnnouncement() error {
	_, stamp := a.stamp()
	announcement := a.target.announcement()
	announcement.Stamp = stamp
	body, err := web.EncodeAnnouncement(announcement)
	if err != nil {
		return err
	}
	return a.post(web.PathAnnounce, body)
}

func (a *announcer) sendLoad() error {
	_, stamp := a.stamp()
	report := a.target.loadReport()
	report.Stamp = stamp
	body, err := web.EncodeLoadReport(report)
	if err != nil {
		return err
	}
	return a.post(web.PathLoad, body)
}

// post sends a message to the current host, or to each other one in turn. A
// host that does not know the target is sent an announcement.
func (a *announcer) post(path string, body []byte) error {
	var err error
	for range a.hosts {
		var known bool
		known, err = a.postTo(a.hosts[a.host], path, body)
		if err == nil {
			if !known && path != web.PathAnnounce {
				a.announce()
			}
			return nil
		}
		a.host = (a.host + 1) % len(a.hosts)
	}
	return err
}

func (a *announcer) postTo(host, path string, body []byte) (bool, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + host + path)
	request.Header.SetContentType("application/json")
	request.Header.Set(web.HeaderSharedKey, a.sharedKey)
	request.SetBody(body)
	if err := a.client.DoTimeout(request, response, messageTimeout); err != nil {
		return false, errors.Wrapf(err, "post to %s", host)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return false, errors.Errorf("post to %s: status %d", host, response.StatusCode())
	}
	var reply struct{ Known bool }
	if err := json.Unmarshal(response.Body(), &reply); err != nil {
		return false, errors.Wrapf(err, "reply of %s", host)
	}
	return reply.Known, nil
}

// announcedAddress returns the address that hosts are told.
func announcedAddress(address string, announce func(string) string) string {
	if announce == nil {
		return address
	}
	return announce(address)
}
