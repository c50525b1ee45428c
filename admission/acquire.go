package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/route"
)

// Acquire asks for a permit. Its one final effect is a permit or a refusal, now
// or later.
func (s *Service) Acquire(now time.Time, request Request) {
	s.advance(now)
	if s.repeat(&request) {
		return
	}
	if code, message := s.refuses(now, &request); code != "" {
		s.refuse(now, &request, 0, code, message)
		return
	}
	s.queue.add(s.newWaiting(now, request))
	s.pump(now)
}

// repeat answers a request that was asked for before.
func (s *Service) repeat(request *Request) bool {
	if granted, known := s.permits[request.ID]; known {
		permit := granted.permit
		decision := decisionOf(request, permit.Waited)
		decision.Target, decision.Reason, decision.Warm = permit.Target, "Repeated", permit.Warm
		s.effects = append(s.effects, Effect{Host: request.Host, Permit: &permit, Decision: decision})
		return true
	}
	if _, known := s.queue.waiting[request.ID]; known {
		return true
	}
	item, known := s.recent.byID[request.ID]
	if !known {
		return false
	}
	refusal := item.refusal
	if refusal == nil {
		refusal = &Refusal{RequestID: request.ID, Code: RefusedCancelled, Message: "the request has ended"}
	}
	decision := decisionOf(request, 0)
	decision.Reason = "Repeated"
	s.effects = append(s.effects, Effect{Host: request.Host, Refusal: refusal, Decision: decision})
	return true
}

// refuses returns why a request can't even wait, or "".
func (s *Service) refuses(now time.Time, request *Request) (RefusalCode, string) {
	w, known := s.workspaces[request.Workspace]
	switch {
	case request.Service != s.config.Service.Name:
		return RefusedUnknownService, "the service is not in the fleet text"
	case !known || !w.allowed:
		return RefusedUnknownWorkspace, "the workspace may not use the service"
	case !request.Deadline.IsZero() && !now.Before(request.Deadline):
		return RefusedDeadline, "the deadline has passed"
	case w.waiting >= s.queueLimit():
		return RefusedQueueFull, "the workspace's queue is full"
	}
	return "", ""
}

func (s *Service) queueLimit() int {
	if limit := s.config.Service.Limits.Queue; limit > 0 {
		return limit
	}
	return DefaultQueue
}

func (s *Service) newWaiting(now time.Time, request Request) *waiting {
	wait := s.config.Service.Limits.QueueWait
	if wait <= 0 {
		wait = DefaultQueueWait
	}
	expires := now.Add(wait)
	if !request.Deadline.IsZero() && request.Deadline.Before(expires) {
		expires = request.Deadline
	}
	item := &waiting{
		request:   request,
		chat:      chat.KeyOf(request.Chat),
		since:     now,
		expires:   expires,
		workspace: s.workspaces[request.Workspace],
	}
	item.wants = s.query(item).Known[0]
	return item
}

// pump grants what can be granted: requests whose warm target has room, within
// the bounds of fairness, else the request whose turn it is.
func (s *Service) pump(now time.Time) {
	if !s.adopted {
		return
	}
	s.queue.resume(now)
	var passed []*waiting
	for s.queue.len() > 0 {
		if item := s.queue.warmNext(s.hasRoom); item != nil {
			s.grantWarm(now, item)
			continue
		}
		item := s.queue.next()
		if item == nil || !s.serveNext(now, item, &passed) {
			break
		}
	}
	for _, item := range passed {
		s.queue.line(item)
	}
}

// serveNext deals with the request whose turn it is. It returns false if that
// must wait because there is no room at all.
func (s *Service) serveNext(now time.Time, item *waiting, passed *[]*waiting) bool {
	switch {
	case !now.Before(item.expires):
		s.refuseWaiting(now, item, RefusedDeadline, "the deadline passed in the queue")
	case s.waitsForWarm(item):
		s.queue.hold(item, now.Add(s.options.warmWait))
	case s.place(now, item):
	case len(item.request.Exclude) > 0:
		// Others that have not tried those targets may find room.
		s.queue.unline(item)
		*passed = append(*passed, item)
	default:
		return false
	}
	return true
}

func (s *Service) hasRoom(at int) bool {
	return s.candidates[at].Refuses(s.factor.Bound(s.load)) == route.Open
}

// grantWarm grants a request on the target that it wants, unless its chat has
// moved since or it has tried that target.
func (s *Service) grantWarm(now time.Time, item *waiting) {
	query := s.query(item)
	if query.Known[0] != item.wants || contains(query.Excluded, item.wants) {
		s.queue.unwant(item)
		if query.Known[0] != route.None && !contains(query.Excluded, query.Known[0]) {
			s.queue.want(item, query.Known[0])
		}
		return
	}
	choice := s.options.choose(&query, s.candidates)
	s.grant(now, item, &query, &choice)
}

// waitsForWarm reports whether a request whose turn it is should wait a little
// for the target where its chat is warm, which has no room now.
func (s *Service) waitsForWarm(item *waiting) bool {
	if s.options.warmWait <= 0 || !item.heldUntil.IsZero() {
		return false
	}
	query := s.query(item)
	if query.Known[0] == route.None || contains(query.Excluded, query.Known[0]) {
		return false
	}
	if second := query.Known[1]; second != route.None && !contains(query.Excluded, second) && s.hasRoom(second) {
		return false
	}
	return s.candidates[query.Known[0]].Admits() && !s.hasRoom(query.Known[0])
}

// place grants or refuses a waiting request, or reports that it must wait on.
func (s *Service) place(now time.Time, item *waiting) bool {
	query := s.query(item)
	choice := s.options.choose(&query, s.candidates)
	if choice.Target == route.None {
		query.Bound = max(query.Bound, s.factor.Bound(route.Unfilled(s.candidates)))
		choice = s.options.choose(&query, s.candidates)
	}
	if choice.Target != route.None {
		s.grant(now, item, &query, &choice)
		return true
	}
	if s.load.Targets > 0 && s.allExcluded(query.Excluded) {
		s.refuseWaiting(now, item, RefusedNoTarget, "every target was tried")
		return true
	}
	return false
}

func (s *Service) query(item *waiting) route.Query {
	known := s.memory.Find(item.chat)
	query := route.Query{
		Chat:  uint64(item.chat),
		Known: [2]int{s.targetAt(known.Last), s.targetAt(known.Second)},
		Bound: s.factor.Bound(s.load),
		First: s.options.first,
	}
	if known.Displaced {
		query.Known[0], query.Known[1] = query.Known[1], query.Known[0]
	}
	for _, name := range item.request.Exclude {
		if at, found := s.byName[name]; found {
			query.Excluded = append(query.Excluded, at)
		}
	}
	return query
}

func (s *Service) targetAt(place chat.Place) int {
	if place == chat.NoPlace || int(place) >= len(s.byPlace) {
		return route.None
	}
	return s.byPlace[place]
}

func (s *Service) allExcluded(excluded []int) bool {
	admitting := s.load.Targets
	for i, at := range excluded {
		if s.candidates[at].Admits() && !contains(excluded[:i], at) {
			admitting--
		}
	}
	return admitting == 0
}

func contains(list []int, item int) bool {
	for _, other := range list {
		if other == item {
			return true
		}
	}
	return false
}

// grant turns a waiting request into a permit.
func (s *Service) grant(now time.Time, item *waiting, query *route.Query, choice *route.Choice) {
	s.queue.serve(item)
	item.workspace.drain.add(now)
	item.workspace.inFlight++
	t := s.targets[choice.Target]
	reason := s.reasonOf(item, query, choice)
	waited := now.Sub(item.since)
	granted := &grant{
		permit: Permit{
			RequestID:   item.request.ID,
			Host:        item.request.Host,
			Service:     item.request.Service,
			Workspace:   item.request.Workspace,
			Chat:        item.request.Chat,
			Target:      t.name,
			Incarnation: t.incarnation,
			Address:     t.announcement.Address,
			Fence:       s.fence,
			ValidFor:    waited + s.options.permitValid,
			Warm:        choice.Known,
			Waited:      waited,
			Reason:      reason.String(),
			ChecksFence: t.announcement.ChecksFence,
			Resumes:     t.announcement.Resumes,
		},
		target:    choice.Target,
		counted:   true,
		workspace: item.workspace,
		chat:      item.chat,
		probe:     t.circuit.open,
	}
	granted.moved = s.memory.Use(now, item.chat, t.place, s.lastIsOut(item.chat))
	t.circuit.sent()
	s.addInFlight(now, choice.Target, 1)
	if granted.probe {
		s.sync(now, choice.Target)
	}
	s.permits[item.request.ID] = granted
	s.metrics.granted(reason, waited)
	permit := granted.permit
	s.effects = append(s.effects, Effect{
		Host:     item.request.Host,
		Permit:   &permit,
		Decision: s.decide(item, &permit, query.Bound, choice),
	})
}

// lastIsOut reports whether the chat's last target takes no new work.
func (s *Service) lastIsOut(key chat.Key) bool {
	last := s.targetAt(s.memory.Find(key).Last)
	return last != route.None && !s.candidates[last].Admits()
}

// reasonOf names why the target was chosen.
func (s *Service) reasonOf(item *waiting, query *route.Query, choice *route.Choice) route.Reason {
	known := s.memory.Find(item.chat)
	switch {
	case item.chat == 0:
		return route.LeastLoaded
	case !choice.Known:
		return route.Hashed
	case choice.Target == s.targetAt(known.Last) && known.Certain:
		return route.Warm
	case choice.Target == s.targetAt(known.Last):
		return route.Uncertain
	case known.Displaced && choice.Target == query.Known[0]:
		return route.Home
	}
	return route.Second
}

// Release gives a permit back. Unknown permits are ignored, so that a release
// may be repeated.
func (s *Service) Release(now time.Time, release Release) {
	s.advance(now)
	granted, known := s.permits[release.RequestID]
	if !known || granted.permit.Target != release.Target {
		return
	}
	s.drop(now, granted)
	if granted.counted {
		s.learn(now, granted, &release)
	}
	s.recent.add(now, release.RequestID, nil)
	s.pump(now)
}

// drop stops counting a permit.
func (s *Service) drop(now time.Time, granted *grant) {
	delete(s.permits, granted.permit.RequestID)
	granted.workspace.inFlight--
	if granted.counted {
		s.addInFlight(now, granted.target, -1)
	}
}

// learn takes what the outcome tells of the target.
func (s *Service) learn(now time.Time, granted *grant, release *Release) {
	t := s.targets[granted.target]
	switch release.Outcome {
	case OutcomeDone:
		t.circuit.succeed()
		t.warmUp.complete(s.config.Service.WarmUp, release.FirstByte)
	case OutcomeFailed:
		t.circuit.fail(now, granted.probe)
	case OutcomeUnsent:
		if granted.moved {
			s.memory.Undo(granted.chat, t.place)
		}
		t.circuit.inconclusive(granted.probe)
	case OutcomeCancelled:
		t.circuit.inconclusive(granted.probe)
	}
	s.sync(now, granted.target)
}

// Cancel ends a request that its host no longer wants. A permit that was granted
// already stays until its release.
func (s *Service) Cancel(now time.Time, requestID string) {
	s.advance(now)
	if item, known := s.queue.waiting[requestID]; known {
		s.refuseWaiting(now, item, RefusedCancelled, "cancelled by the host")
		s.pump(now)
		return
	}
	if _, known := s.permits[requestID]; known {
		return
	}
	if _, known := s.recent.byID[requestID]; !known {
		refusal := &Refusal{RequestID: requestID, Code: RefusedCancelled, Message: "cancelled by the host"}
		s.recent.add(now, requestID, refusal)
	}
}
