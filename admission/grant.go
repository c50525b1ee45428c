package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/route"
)

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
