package standin

import (
	"encoding/json"
	"sync"
	"time"

	"comfreytiller.dev/common/head"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/web"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// messageTimeout limits sending one message to a host.
const messageTimeout = 2 * time.Second

// maxQueuedMessages is the capacity of the send queue. Further messages are
// dropped.
const maxQueuedMessages = 4096

// announcingTarget provides the content of an announcer's messages.
type announcingTarget interface {
	announcement() target.Announcement
	loadReport() target.LoadReport
}

// announcer sends a target's messages to one of the hosts and fails over to the
// next host on an error.
type announcer struct {
	clock     clockwork.Clock
	hosts     []string
	sharedKey string
	heartbeat time.Duration
	target    announcingTarget
	done      chan struct{}
	sendQueue chan func() error
	wg        sync.WaitGroup
	client    fasthttp.Client

	// currentHost is the index of the host that messages are sent to. Only the loop
	// accesses it.
	currentHost int

	mu               sync.Mutex
	incarnation      uint64
	sequence         uint64
	eventIncarnation uint64
	eventSequence    uint64
	eventsToDrop     int
	// eventDelay is the delay before a cache event is sent.
	eventDelay time.Duration
}

func newAnnouncer(clock clockwork.Clock, hosts []string, key string, heartbeat time.Duration, t announcingTarget, done chan struct{}) *announcer {
	return &announcer{
		clock: clock, hosts: hosts, sharedKey: key, heartbeat: heartbeat, target: t, done: done,
		client: fasthttp.Client{Dial: head.Dial}, sendQueue: make(chan func() error, maxQueuedMessages),
	}
}

// start announces the target and starts its heartbeat.
func (a *announcer) start() {
	if len(a.hosts) == 0 {
		return
	}
	a.enqueueAnnouncement()
	a.wg.Add(1)
	go a.loop()
}

func (a *announcer) wait() { a.wg.Wait() }

func (a *announcer) loop() {
	defer a.wg.Done()
	var heartbeatTick <-chan time.Time
	if a.heartbeat > 0 {
		ticker := a.clock.NewTicker(a.heartbeat)
		defer ticker.Stop()
		heartbeatTick = ticker.Chan()
	}
	for {
		select {
		case <-a.done:
			return
		case send := <-a.sendQueue:
			_ = send()
		case <-heartbeatTick:
			_ = a.sendLoad()
		}
	}
}

func (a *announcer) enqueue(send func() error) {
	if len(a.hosts) == 0 {
		return
	}
	select {
	case a.sendQueue <- send:
	default:
	}
}

// enqueueAnnouncement queues an announcement. Its fields are read when it is sent.
func (a *announcer) enqueueAnnouncement() { a.enqueue(a.sendAnnouncement) }

// enqueueLeave queues the message that the target admits no new requests.
func (a *announcer) enqueueLeave() {
	a.enqueue(func() error {
		name, stamp := a.nextStamp()
		service := a.target.announcement().Service
		body, err := web.EncodeLeave(target.Leave{Name: name, Stamp: stamp, Service: service})
		if err != nil {
			return err
		}
		return a.post(web.PathLeave, body)
	})
}

// dropEvents drops the next n cache events, which leaves a gap in their sequence
// numbers.
func (a *announcer) dropEvents(n int) {
	a.mu.Lock()
	a.eventsToDrop += n
	a.mu.Unlock()
}

// enqueueCacheEvent queues a cache event. It assigns the sequence number
// immediately, so that the numbers reflect the order of the changes.
func (a *announcer) enqueueCacheEvent(incarnation uint64, change target.CacheChange, chats []string) {
	a.mu.Lock()
	if incarnation != a.eventIncarnation {
		a.eventIncarnation = incarnation
		a.eventSequence = 0
	}
	a.eventSequence++
	stamp := target.Stamp{Incarnation: incarnation, Sequence: a.eventSequence}
	if a.eventsToDrop > 0 {
		a.eventsToDrop--
		a.mu.Unlock()
		return
	}
	a.mu.Unlock()
	send := func() error {
		current := a.target.announcement()
		body, err := web.EncodeCacheEvent(target.CacheEvent{
			Name: current.Name, Service: current.Service, Change: change, Chats: chats, Stamp: stamp,
		})
		if err != nil {
			return err
		}
		return a.post(web.PathCacheEvents, body)
	}
	if a.eventDelay <= 0 {
		a.enqueue(send)
		return
	}
	a.clock.AfterFunc(a.eventDelay, func() { a.enqueue(send) })
}

// nextStamp returns the target's name and the stamp of the next message. Sequence
// numbers restart at 1 for a new incarnation.
func (a *announcer) nextStamp() (string, target.Stamp) {
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
	_, stamp := a.nextStamp()
	announcement := a.target.announcement()
	announcement.Stamp = stamp
	body, err := web.EncodeAnnouncement(announcement)
	if err != nil {
		return err
	}
	return a.post(web.PathAnnounce, body)
}

func (a *announcer) sendLoad() error {
	_, stamp := a.nextStamp()
	report := a.target.loadReport()
	report.Stamp = stamp
	body, err := web.EncodeLoadReport(report)
	if err != nil {
		return err
	}
	return a.post(web.PathLoad, body)
}

// post sends a message to the current host and on failure to each other host in
// turn. If the host does not know the target, post queues an announcement.
func (a *announcer) post(path string, body []byte) error {
	var err error
	for range a.hosts {
		var known bool
		known, err = a.postTo(a.hosts[a.currentHost], path, body)
		if err == nil {
			if !known && path != web.PathAnnounce {
				a.enqueueAnnouncement()
			}
			return nil
		}
		a.currentHost = (a.currentHost + 1) % len(a.hosts)
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
		return false, errors.Wrapf(err, "post message to host %s", host)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return false, errors.Errorf("post message to host %s: unexpected status %d", host, response.StatusCode())
	}
	var reply struct{ Known bool }
	if err := json.Unmarshal(response.Body(), &reply); err != nil {
		return false, errors.Wrapf(err, "decode response of host %s", host)
	}
	return reply.Known, nil
}

// advertisedAddressOf returns the address to announce for a listen address.
func advertisedAddressOf(address string, advertise func(string) string) string {
	if advertise == nil {
		return address
	}
	return advertise(address)
}
