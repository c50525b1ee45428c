package host

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/gateway"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/session"
)

const (
	// ownerTick is the pause between looks at deadlines and heartbeats.
	ownerTick = 50 * time.Millisecond
	// copyInterval is the pause between copies to the backup host.
	copyInterval = time.Second
	// copyChats is the largest number of chats in one copy.
	copyChats = 2000
	// handoverTimeout bounds giving up services or the session.
	handoverTimeout = 10 * time.Second
)

// owners holds the services that this host decides for.
type owners struct {
	host    *Host
	log     *logrus.Logger
	clock   clockwork.Clock
	session *session.Client
	// authority tells whether this host may grant now.
	authority gateway.Authority

	mu     sync.Mutex
	owned  map[string]*owned
	view   *registry.View
	number uint64
	// followed are the services that this host keeps a copy of, for the case
	// that it follows their owners.
	followed map[string]*admission.Service
	// handed are the memories of owners that hand over to this host.
	handed map[string]admission.Copy
	// moving are the services being handed over.
	moving map[string]bool
}

func newOwners(h *Host) *owners {
	return &owners{
		host:     h,
		log:      logs.Part(h.Log, "Owner"),
		clock:    h.Clock,
		owned:    map[string]*owned{},
		followed: map[string]*admission.Service{},
		handed:   map[string]admission.Copy{},
		moving:   map[string]bool{},
	}
}

func (o *owners) scope(service string) tally.Scope {
	return o.host.Scope.SubScope("admission").Tagged(map[string]string{"service": service})
}

// holder names one session of a host in requests and permits, so that a host
// that restarts does not lose the permits of its new process with those of the
// old one.
func holder(host string, session uint64) string {
	return host + "#" + strconv.FormatUint(session, 10)
}

// run follows the view and keeps the services going.
func (o *owners) run(ctx context.Context) {
	ticker := o.clock.NewTicker(ownerTick)
	defer ticker.Stop()
	copied := o.clock.Now()
	for {
		view, changed := o.session.Watch()
		o.follow(view)
		o.moveAway(ctx, view)
		select {
		case <-ctx.Done():
			return
		case <-changed:
			continue
		case <-ticker.Chan():
		}
		for _, service := range o.all() {
			service.tick()
		}
		if now := o.clock.Now(); now.Sub(copied) >= copyInterval {
			copied = now
			o.sendCopies(now)
		}
	}
}

func (o *owners) all() []*owned {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]*owned, 0, len(o.owned))
	for _, service := range o.owned {
		all = append(all, service)
	}
	return all
}

func (o *owners) find(service string) *owned {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owned[service]
}

// follow takes over, gives up and configures services as the view says.
func (o *owners) follow(view *registry.View) {
	number := o.session.Number()
	o.mu.Lock()
	previous := o.view
	if previous == view && o.number == number {
		o.mu.Unlock()
		return
	}
	o.view, o.number = view, number
	o.dropLost(view, number)
	o.takeOver(view, number)
	kept := make([]*owned, 0, len(o.owned))
	for _, service := range o.owned {
		kept = append(kept, service)
	}
	o.mu.Unlock()
	for _, service := range kept {
		o.refresh(service, previous, view)
	}
}

// dropLost forgets the services that this session no longer owns; the lock is
// held.
func (o *owners) dropLost(view *registry.View, number uint64) {
	for name, service := range o.owned {
		owner, ok := view.Owners[name]
		if ok && owner.Session == number && owner.Fence == service.owner.Fence {
			continue
		}
		delete(o.owned, name)
		delete(o.moving, name)
		service.stop()
		o.log.Infof("Gives up %s.", name)
	}
}

// takeOver starts the services that this session now owns; the lock is held.
func (o *owners) takeOver(view *registry.View, number uint64) {
	if number == 0 {
		return
	}
	for name, owner := range view.Owners {
		if owner.Session != number || o.owned[name] != nil {
			continue
		}
		config, ok := serviceConfig(view, name)
		if !ok {
			continue
		}
		service := newOwned(o, name, owner, config, liveSessions(view))
		now := o.clock.Now()
		if followed, ok := o.followed[name]; ok {
			service.imports(now, followed.Export(now, 0))
			delete(o.followed, name)
		}
		if handed, ok := o.handed[name]; ok {
			service.imports(now, handed)
			delete(o.handed, name)
		}
		o.owned[name] = service
		o.log.Infof("Takes over %s with fence %d.", name, owner.Fence)
	}
}

// refresh passes changes of the view on to a service.
func (o *owners) refresh(service *owned, previous, view *registry.View) {
	if config, ok := serviceConfig(view, service.name); ok {
		service.configure(config)
	}
	if previous == nil {
		return
	}
	live := liveSessions(view)
	for number, host := range sessionsOf(previous) {
		if !live[number] {
			service.sessionClosed(host, number)
		}
	}
}

// serviceConfig returns what the fleet text and the outages say of a service.
func serviceConfig(view *registry.View, name string) (admission.Config, bool) {
	if view.Fleet == nil {
		return admission.Config{}, false
	}
	service, ok := view.Fleet.Service(name)
	if !ok {
		return admission.Config{}, false
	}
	return admission.Config{
		Service:    service,
		Workspaces: view.Fleet.Workspaces,
		DomainsOut: view.DomainsOut,
		TargetsOut: withheld(view),
	}, true
}

// withheld returns the targets that get no new work: those that operators have
// taken out and those with an order under way.
func withheld(view *registry.View) map[string]bool {
	if len(view.Ordered) == 0 {
		return view.TargetsOut
	}
	out := maps.Clone(view.Ordered)
	maps.Copy(out, view.TargetsOut)
	return out
}

// sessionsOf returns the hosts' names by session.
func sessionsOf(view *registry.View) map[uint64]string {
	sessions := map[uint64]string{}
	for _, host := range view.Hosts {
		sessions[host.Session] = host.Name
	}
	for number, host := range view.Closing {
		sessions[number] = host.Name
	}
	return sessions
}

func liveSessions(view *registry.View) map[uint64]bool {
	live := map[uint64]bool{}
	for number := range sessionsOf(view) {
		live[number] = true
	}
	return live
}

// idleAfter is how long a service must be unable to serve before those that
// depend on it are refused: a new owner hears of its targets within a second.
const idleAfter = 5 * time.Second

// idle returns the owned services that have not been able to serve for a while.
func (o *owners) idle() []string {
	var idle []string
	for _, service := range o.all() {
		if service.idleFor() >= idleAfter {
			idle = append(idle, service.name)
		}
	}
	return idle
}

// serves reports whether some target of the service may take work.
func serves(status admission.Status) bool {
	for _, t := range status.Targets {
		if t.Limit > 0 {
			return true
		}
	}
	return false
}

func (o *owners) acquire(m peer.AcquireRequest, reply peer.Reply) {
	service := o.find(m.Request.Service)
	if service == nil || service.owner.Fence != m.Fence {
		reply(notOwner(m.Request.ID))
		return
	}
	service.acquire(m.Request, reply)
}

func (o *owners) release(m peer.Releases) {
	for _, release := range m.Releases {
		if service := o.find(release.Service); service != nil {
			service.release(release)
		}
	}
}

// adopt counts a host's permits. Those of a session that is closed here would
// stay counted for ever; a session that is not yet known here is told to ask
// again.
func (o *owners) adopt(m peer.AdoptPermits) bool {
	o.mu.Lock()
	service := o.owned[m.Service]
	live := o.view != nil && sessionsOf(o.view)[m.Session] != ""
	o.mu.Unlock()
	if service == nil || service.owner.Fence != m.Fence || !live {
		return false
	}
	service.adopt(m.Session, m.Permits)
	return true
}

func (o *owners) targetNews(m peer.TargetUpdate, reply peer.Reply) {
	service := o.find(m.Service)
	if service == nil {
		reply(peer.Failure{Message: "this host does not decide for the service now"})
		return
	}
	reply(peer.TargetUpdateAck{Known: service.take(m)})
}

func (o *owners) tellStatus(m peer.StatusRequest, reply peer.Reply) {
	service := o.find(m.Service)
	if service == nil {
		reply(peer.Failure{Message: "this host does not decide for the service now"})
		return
	}
	data, err := encodeStatus(service.status())
	if err != nil {
		reply(peer.Failure{Message: err.Error()})
		return
	}
	reply(peer.StatusResponse{Status: data})
}

// Serving returns the number of targets of a service that may take work, on the
// host that decides for it.
func (h *Host) Serving(service string) int {
	owned := h.owners.find(service)
	if owned == nil {
		return 0
	}
	serving := 0
	for _, t := range owned.status().Targets {
		if t.Limit > 0 {
			serving++
		}
	}
	return serving
}
