package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/route"
)

// pump grants what can be granted: requests whose warm target has room, within
// the bounds of fairness, else the request whose turn it is.
func (s *Service) pump(now time.Time) {
	if !s.adopted {
		return
	}
	s.queue.resume(now)
	var passed []*waiting
	for s.queue.len() > 0 {
		bound := s.bound()
		hasRoom := func(target int) bool { return s.candidates[target].Refuses(bound) == route.Open }
		if item := s.queue.warmNext(hasRoom); item != nil {
			s.grantWarm(now, item)
			continue
		}
		item := s.queue.next()
		if item == nil || !s.serveNext(now, item, &passed) {
			break
		}
	}
	for _, item := range passed {
		if s.queue.waiting[item.request.ID] == item {
			s.queue.line(item)
		}
	}
}

// serveNext deals with the request whose turn it is. It returns false if that
// must wait because there is no room at all.
func (s *Service) serveNext(now time.Time, item *waiting, passed *[]*waiting) bool {
	switch {
	case !now.Before(item.expires):
		s.refuseWaiting(now, item, RefusedDeadline, "the deadline passed in the queue")
	case s.waitsForWarm(item):
		s.queue.unwant(item)
		s.queue.want(item, s.query(item).Known[0])
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

// bound returns the largest number in flight on one target. The mean is that of
// all admitting targets, unless those within it are full by their own limits.
func (s *Service) bound() int {
	bound := s.factor.Bound(s.load)
	for i := range s.candidates {
		if s.candidates[i].Refuses(bound) == route.Open {
			return bound
		}
	}
	return max(bound, s.factor.Bound(route.Unfilled(s.candidates)))
}

// grantWarm grants a request on the target that it wants, unless its chat has
// moved since or it has tried that target.
func (s *Service) grantWarm(now time.Time, item *waiting) {
	query := s.query(item)
	if query.Known[0] != item.wants || contains(query.Excluded, item.wants) {
		s.queue.unwant(item)
		s.queue.resumeOne(item, now)
		if query.Known[0] != route.None && !contains(query.Excluded, query.Known[0]) {
			s.queue.want(item, query.Known[0])
		}
		return
	}
	choice := s.options.choose(&query.Query, s.candidates)
	s.grant(now, item, &query, &choice)
}

// waitsForWarm reports whether a request whose turn it is should wait a little
// for the target where its chat is warm, which has no room now. It need not if
// the context can be moved.
func (s *Service) waitsForWarm(item *waiting) bool {
	if s.options.warmWait <= 0 || !item.heldUntil.IsZero() {
		return false
	}
	query := s.query(item)
	if query.Known[0] == route.None || contains(query.Excluded, query.Known[0]) {
		return false
	}
	if second := query.Known[1]; second != route.None && s.offers(&query, second) {
		return false
	}
	warm := query.Known[0]
	if s.targets[warm].announcement.SupportsCacheTransfer {
		return false
	}
	return s.candidates[warm].Admits() && !s.offers(&query, warm)
}

// offers reports whether the request may run on the target now.
func (s *Service) offers(query *lookup, at int) bool {
	return !contains(query.Excluded, at) && s.candidates[at].Refuses(query.Bound) == route.Open
}

// place grants or refuses a waiting request, or reports that it must wait on.
func (s *Service) place(now time.Time, item *waiting) bool {
	query := s.query(item)
	choice := s.options.choose(&query.Query, s.candidates)
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

// lookup is a query with what is known of the request's chat.
type lookup struct {
	route.Query
	known chat.Known
	// last is the target where the chat ran last, or route.None.
	last int
}

func (s *Service) query(item *waiting) lookup {
	known := s.memory.Find(item.chat)
	query := lookup{known: known, last: s.targetAt(known.Last)}
	query.Query = route.Query{
		Chat:  uint64(item.chat),
		Known: [2]int{query.last, s.targetAt(known.Second)},
		Bound: s.bound(),
		First: s.options.first,
	}
	if known.Displaced && query.Known[1] != route.None && s.candidates[query.Known[1]].Admits() {
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
	at := s.byPlace[place]
	if s.targets[at].place != place {
		return route.None
	}
	return at
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
