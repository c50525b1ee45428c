package admission

import (
	"time"

	"comfreytiller.dev/route"
)

// grant turns a waiting request into a permit.
func (s *Service) grant(now time.Time, item *waiting, query *lookup, choice *route.Choice) {
	s.queue.serve(item)
	item.workspace.drain.add(now)
	item.workspace.inFlight++
	t := s.targets[choice.Target]
	reason := reasonOf(query, choice)
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
			ChecksFence: t.announcement.ChecksFencingToken,
			Resumes:     t.announcement.SupportsResume,
			CacheFrom:   s.cacheFrom(now, query, choice.Target),
		},
		target:    choice.Target,
		workspace: item.workspace,
		chat:      item.chat,
		probe:     t.circuit.open,
	}
	out := query.last != route.None && !s.candidates[query.last].Admits()
	granted.moved = s.memory.Use(now, item.chat, t.place, out)
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

// reasonOf names why the target was chosen.
func reasonOf(query *lookup, choice *route.Choice) route.Reason {
	switch {
	case query.Chat == 0:
		return route.LeastLoaded
	case !choice.Known:
		return route.Hashed
	case choice.Target == query.last && query.known.Certain:
		return route.Warm
	case choice.Target == query.last:
		return route.Uncertain
	case query.known.Displaced && choice.Target == query.Known[0]:
		return route.Home
	}
	return route.Second
}

// cacheFrom returns the address of the target that holds the newest copy of the
// chat's context, if the chosen one can import it from there.
func (s *Service) cacheFrom(now time.Time, query *lookup, chosen int) string {
	if query.last == route.None || query.last == chosen || !s.targets[chosen].announcement.SupportsCacheTransfer {
		return ""
	}
	source := s.targets[query.last]
	if !source.announcement.SupportsCacheTransfer || source.replaced || now.Sub(source.lastSeen) >= s.options.suspectAfter {
		return ""
	}
	return source.announcement.Address
}
