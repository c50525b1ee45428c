package scarcity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"comfreytiller.dev/route"
)

// Requests belong to one of some sessions and have one of some sizes of their prompts.
const (
	sessions = 40
	sizes    = 5
)

// replayKind is a route of the replayed load.
type replayKind struct {
	name      string
	part      float64
	priority  int
	once      bool
	objective time.Duration
	timeout   time.Duration
}

// replayConfig is a load on a service and the way in which hosts decide.
type replayConfig struct {
	kind       Kind
	targets    int
	slots      int
	queue      int
	work       time.Duration
	hosts      int
	perSecond  float64
	kinds      []replayKind
	workspaces int
	// ranked is the number of workspaces with a priority of their own, 0.
	ranked int
	// flooding is a workspace that sends floodFactor times its usual from floodAt on.
	flooding               int
	floodFactor            float64
	floodAt, floodDuration time.Duration
	// The last target crashes at crashAt.
	crashAt, crashDuration time.Duration
	length                 time.Duration
	// throttled selects route.Throttle instead of Service.
	throttled bool
	seed      uint64
}

// outcome counts requests by what became of them after all attempts.
type outcome struct{ all, served, inTime int }

func (o *outcome) share() float64 { return float64(o.served) / float64(max(o.all, 1)) }

// replayResult is what became of the requests.
type replayResult struct {
	total                    outcome
	byKind, byWorkspace      map[string]*outcome
	byRank                   map[int]*outcome
	byOnce, byRepeats        map[bool]*outcome
	bySession, bySize        map[uint64]*outcome
	refusals, needlessly     int
	waited, rejected, failed int
	// placed counts the requests that waited and got a place.
	placed int
	// most is the largest number of requests on one target.
	most int
}

type replayRequest struct {
	Request
	kind      *replayKind
	workspace int
	attempts  int
	repeats   bool
	id        uint64
}

type replayHost struct {
	service  *Service
	throttle route.Throttle
	digestAt time.Time
	waiting  map[*Waiter]*replayRequest
}

type replayRunning struct {
	request *replayRequest
	host    *replayHost
	sentAt  time.Time
	endsAt  time.Time
}

type replayTarget struct {
	running []replayRunning
	queue   []replayRunning
	down    bool
}

func (t *replayTarget) load() int { return len(t.running) + len(t.queue) }

// replay simulates hosts that decide by themselves with digests that are 0.3 to 1 s old.
type replay struct {
	replayConfig
	random  *rand.Rand
	now     time.Time
	start   time.Time
	hosts   []*replayHost
	targets []*replayTarget
	// digests are the loads of the last second, one each 100 ms.
	digests []Load
	later   map[time.Time][]*replayRequest
	result  replayResult
	lastID  uint64
}

func runReplay(config replayConfig) *replayResult {
	r := &replay{
		replayConfig: config, random: rand.New(rand.NewPCG(config.seed, 7)), start: time.Unix(1000, 0), later: map[time.Time][]*replayRequest{},
		result: replayResult{
			byKind: map[string]*outcome{}, byWorkspace: map[string]*outcome{}, byRank: map[int]*outcome{}, byOnce: map[bool]*outcome{},
			byRepeats: map[bool]*outcome{}, bySession: map[uint64]*outcome{}, bySize: map[uint64]*outcome{},
		},
	}
	r.now = r.start
	for range config.hosts {
		host := &replayHost{service: NewService(config.kind, nil), waiting: map[*Waiter]*replayRequest{}}
		host.digestAt = r.start.Add(time.Duration(r.random.Int64N(int64(700 * time.Millisecond))))
		r.hosts = append(r.hosts, host)
	}
	for range config.targets {
		r.targets = append(r.targets, &replayTarget{})
	}
	arrivals := 0.0
	for ; r.now.Before(r.start.Add(config.length)); r.now = r.now.Add(time.Millisecond) {
		elapsed := r.now.Sub(r.start)
		r.crash(elapsed >= r.crashAt && elapsed < r.crashAt+r.crashDuration)
		r.advanceTargets()
		r.sendDigests(elapsed)
		for _, request := range r.later[r.now] {
			r.arrive(request)
		}
		delete(r.later, r.now)
		flooded := elapsed >= r.floodAt && elapsed < r.floodAt+r.floodDuration
		usual := r.perSecond / 1000
		arrivals += usual
		if flooded {
			arrivals += usual * (r.floodFactor - 1) / float64(r.workspaces)
		}
		for ; arrivals >= 1; arrivals-- {
			r.arrive(r.newRequest(flooded))
		}
		r.releaseWaiters()
	}
	return &r.result
}

// newRequest returns a request of a random kind and workspace.
func (r *replay) newRequest(flooded bool) *replayRequest {
	workspace := r.random.IntN(r.workspaces)
	if extra := r.floodFactor - 1; flooded && r.random.Float64() < extra/(extra+float64(r.workspaces)) {
		workspace = r.flooding
	}
	at := r.random.Float64()
	kind := &r.kinds[0]
	for i := range r.kinds {
		kind = &r.kinds[i]
		if at -= kind.part; at < 0 {
			break
		}
	}
	priority := -kind.priority
	if workspace < r.ranked {
		priority = 0
	}
	r.lastID++
	return &replayRequest{
		Request: Request{
			Class: Class{Workspace: fmt.Sprint("w-", workspace), Priority: priority}, Once: kind.once, ContentKey: mix(r.lastID),
			Started: r.now, Deadline: r.now.Add(kind.timeout), Objective: kind.objective, MayWait: true,
		},
		kind: kind, workspace: workspace, id: r.lastID, repeats: r.random.IntN(5) == 0,
	}
}

// arrive sends a request to a random host.
func (r *replay) arrive(request *replayRequest) {
	host := r.hosts[r.random.IntN(len(r.hosts))]
	request.attempts++
	request.Random = r.random.Uint64()
	if r.throttled {
		if host.throttle.Admits(request.Random) {
			r.send(host, request)
		} else {
			r.refused(request, 300*time.Millisecond+time.Duration(r.random.Int64N(int64(300*time.Millisecond))))
		}
		return
	}
	decision := host.service.Decide(r.now, &request.Request)
	if evicted := decision.Evicted; evicted != nil {
		r.refused(host.waiting[evicted], host.service.RefuseWaiter(r.now, evicted, ReasonQueue).RetryAfter)
		delete(host.waiting, evicted)
	}
	switch decision.Verdict {
	case Admitted:
		r.send(host, request)
	case Queued:
		r.result.waited++
		host.waiting[decision.Waiter] = request
	case Refused:
		r.refused(request, decision.RetryAfter)
	}
}

// releaseWaiters sends the requests that wait and have a place, and refuses those whose
// time is over.
func (r *replay) releaseWaiters() {
	for _, host := range r.hosts {
		for w := host.service.Dequeue(r.now); w != nil; w = host.service.Dequeue(r.now) {
			r.result.placed++
			r.send(host, host.waiting[w])
			delete(host.waiting, w)
		}
		for w, request := range host.waiting {
			if r.now.Before(w.ExpiresAt) {
				continue
			}
			delete(host.waiting, w)
			if decision, _ := host.service.Expire(r.now, w); decision.Verdict == Admitted {
				r.result.placed++
				r.send(host, request)
			} else {
				r.refused(request, decision.RetryAfter)
			}
		}
	}
}

// refused lets the caller try again: after the pause if that is at most a third of its
// time, some at once, for at most four attempts.
func (r *replay) refused(request *replayRequest, pause time.Duration) {
	r.result.refusals++
	load, slots, queued := r.currentLoad()
	if 2*load < slots && queued == 0 {
		r.result.needlessly++
	}
	if request.repeats {
		pause = time.Millisecond
	}
	if request.attempts >= 4 || pause > request.Deadline.Sub(r.now)/3 {
		r.end(request, false)
		return
	}
	at := r.now.Add(max(pause.Round(time.Millisecond), time.Millisecond))
	r.later[at] = append(r.later[at], request)
}

// send sends a request to the target with the least load of two random ones.
func (r *replay) send(host *replayHost, request *replayRequest) {
	var best *replayTarget
	for _, at := range r.random.Perm(len(r.targets))[:2] {
		if target := r.targets[at]; !target.down && (best == nil || target.load() < best.load()) {
			best = target
		}
	}
	if best != nil {
		r.result.most = max(r.result.most, best.load())
	}
	running := replayRunning{request: request, host: host, sentAt: r.now}
	switch {
	case best == nil:
		r.result.failed++
		r.end(request, false)
	case len(best.running) < r.slots:
		running.endsAt = r.now.Add(r.workOf())
		best.running = append(best.running, running)
	case len(best.queue) < r.queue:
		best.queue = append(best.queue, running)
	default:
		r.result.rejected++
		host.service.RecordRejection(r.now)
		r.end(request, false)
	}
}

func (r *replay) workOf() time.Duration {
	return time.Duration((0.5 + r.random.Float64()) * float64(r.work)).Round(time.Millisecond)
}

// advanceTargets ends requests and starts those that wait at the targets.
func (r *replay) advanceTargets() {
	for _, target := range r.targets {
		kept := target.running[:0]
		for _, running := range target.running {
			if running.endsAt.After(r.now) {
				kept = append(kept, running)
				continue
			}
			running.host.service.RecordDuration(r.now.Sub(running.sentAt))
			r.end(running.request, true)
		}
		target.running = kept
		for len(target.running) < r.slots && len(target.queue) > 0 {
			next := target.queue[0]
			target.queue = target.queue[1:]
			next.endsAt = r.now.Add(r.workOf())
			target.running = append(target.running, next)
		}
	}
}

// crash stops or restarts the last target.
func (r *replay) crash(down bool) {
	target := r.targets[len(r.targets)-1]
	if down && !target.down {
		for _, running := range append(target.running, target.queue...) {
			r.result.failed++
			r.end(running.request, false)
		}
		target.running, target.queue = nil, nil
	}
	target.down = down
}

func (r *replay) currentLoad() (load, slots, queued int) {
	for _, target := range r.targets {
		if !target.down {
			load += target.load()
			slots += r.slots
			queued += len(target.queue)
		}
	}
	return load, slots, queued
}

// sendDigests lets each host have a digest each 0.7 s that is 0.3 s old. The targets of
// plain services report no queues.
func (r *replay) sendDigests(elapsed time.Duration) {
	if elapsed%(100*time.Millisecond) == 0 {
		load, slots, _ := r.currentLoad()
		r.digests = append(r.digests, Load{InFlight: float64(load), Slots: slots, Hosts: len(r.hosts)})
	}
	if len(r.digests) < 4 {
		return
	}
	digest := r.digests[len(r.digests)-4]
	for _, host := range r.hosts {
		if r.now.Before(host.digestAt) {
			continue
		}
		host.digestAt = r.now.Add(700 * time.Millisecond)
		host.service.Observe(r.now, digest)
		host.throttle.ObserveLoad(digest.InFlight, digest.Slots)
	}
}

// end counts a request that is not tried again.
func (r *replay) end(request *replayRequest, served bool) {
	inTime := served && r.now.Sub(request.Started) <= request.Objective
	count(&r.result.total, served, inTime)
	count(entry(r.result.byKind, request.kind.name), served, inTime)
	count(entry(r.result.byWorkspace, request.Workspace), served, inTime)
	count(entry(r.result.byRank, request.Priority), served, inTime)
	count(entry(r.result.byOnce, request.Once), served, inTime)
	count(entry(r.result.byRepeats, request.repeats), served, inTime)
	count(entry(r.result.bySession, request.id%sessions), served, inTime)
	count(entry(r.result.bySize, request.id/sessions%sizes), served, inTime)
}

func count(o *outcome, served, inTime bool) {
	o.all++
	if served {
		o.served++
	}
	if inTime {
		o.inTime++
	}
}

func entry[K comparable](of map[K]*outcome, key K) *outcome {
	if of[key] == nil {
		of[key] = &outcome{}
	}
	return of[key]
}
