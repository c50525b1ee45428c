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
	// ownerTickInterval is the pause between checks of deadlines and
	// heartbeats.
	ownerTickInterval = 50 * time.Millisecond
	// replicationInterval is the pause between updates to the backup host.
	replicationInterval = time.Second
	// maxReplicatedChats is the maximum number of chats in one update.
	maxReplicatedChats = 2000
	// handoverTimeout bounds the handover of services and the closing of the
	// session.
	handoverTimeout = 10 * time.Second
)

// ownedServices manages the services that this host owns.
type ownedServices struct {
	host    *Host
	log     *logrus.Logger
	clock   clockwork.Clock
	session *session.Client
	// authority reports whether this host is allowed to grant permits.
	authority gateway.Authority

	mu            sync.Mutex
	byService     map[string]*serviceOwner
	view          *registry.View
	sessionNumber uint64
	// standby holds replicated state of services that this host is the backup
	// for.
	standby map[string]*admission.Controller
	// handedOverState holds the state received from owners that hand over to
	// this host.
	handedOverState map[string]admission.ExportedState
	// handingOver is the set of services whose handover is in progress.
	handingOver map[string]bool
}

func newOwnedServices(h *Host) *ownedServices {
	return &ownedServices{
		host:            h,
		log:             logs.ForComponent(h.Log, "Owner"),
		clock:           h.Clock,
		byService:       map[string]*serviceOwner{},
		standby:         map[string]*admission.Controller{},
		handedOverState: map[string]admission.ExportedState{},
		handingOver:     map[string]bool{},
	}
}

func (o *ownedServices) scope(service string) tally.Scope {
	return o.host.Scope.SubScope("admission").Tagged(map[string]string{"service": service})
}

// permitHolder identifies one session of a host in requests and permits. When a
// host restarts, the permits of the old session are released and those of the
// new one are kept.
func permitHolder(host string, session uint64) string {
	return host + "#" + strconv.FormatUint(session, 10)
}

// run applies changes of the view and processes the timers of the services.
func (o *ownedServices) run(ctx context.Context) {
	ticker := o.clock.NewTicker(ownerTickInterval)
	defer ticker.Stop()
	lastReplicated := o.clock.Now()
	for {
		view, changed := o.session.Watch()
		o.syncView(view)
		o.startHandovers(ctx, view)
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
		if now := o.clock.Now(); now.Sub(lastReplicated) >= replicationInterval {
			lastReplicated = now
			o.replicateToBackups(now)
		}
	}
}

func (o *ownedServices) all() []*serviceOwner {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]*serviceOwner, 0, len(o.byService))
	for _, service := range o.byService {
		all = append(all, service)
	}
	return all
}

func (o *ownedServices) find(service string) *serviceOwner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byService[service]
}

// syncView takes over, drops and configures services according to the view.
func (o *ownedServices) syncView(view *registry.View) {
	sessionNumber := o.session.Number()
	o.mu.Lock()
	previous := o.view
	if previous == view && o.sessionNumber == sessionNumber {
		o.mu.Unlock()
		return
	}
	o.view, o.sessionNumber = view, sessionNumber
	o.dropLostServices(view, sessionNumber)
	o.takeOverServices(view, sessionNumber)
	kept := make([]*serviceOwner, 0, len(o.byService))
	for _, service := range o.byService {
		kept = append(kept, service)
	}
	o.mu.Unlock()
	for _, service := range kept {
		o.updateService(service, previous, view)
	}
}

// dropLostServices removes the services that this session no longer owns. o.mu
// must be held.
func (o *ownedServices) dropLostServices(view *registry.View, sessionNumber uint64) {
	for name, service := range o.byService {
		owner, ok := view.Owners[name]
		if ok && owner.Session == sessionNumber && owner.Fence == service.owner.Fence {
			continue
		}
		delete(o.byService, name)
		delete(o.handingOver, name)
		service.stopGranting()
		o.log.Infof("Service %s is no longer owned by this host.", name)
	}
}

// takeOverServices starts the services that this session now owns. o.mu must be
// held.
func (o *ownedServices) takeOverServices(view *registry.View, sessionNumber uint64) {
	if sessionNumber == 0 {
		return
	}
	for name, owner := range view.Owners {
		if owner.Session != sessionNumber || o.byService[name] != nil {
			continue
		}
		config, ok := serviceConfig(view, name)
		if !ok {
			continue
		}
		service := newServiceOwner(o, name, owner, config, liveSessions(view))
		now := o.clock.Now()
		if standby, ok := o.standby[name]; ok {
			service.importState(now, standby.Export(now, 0))
			delete(o.standby, name)
		}
		if handedOver, ok := o.handedOverState[name]; ok {
			service.importState(now, handedOver)
			delete(o.handedOverState, name)
		}
		o.byService[name] = service
		o.log.Infof("Taking over service %s with fencing token %d.", name, owner.Fence)
	}
}

// updateService applies a changed view to a service.
func (o *ownedServices) updateService(service *serviceOwner, previous, view *registry.View) {
	if config, ok := serviceConfig(view, service.name); ok {
		service.configure(config)
	}
	if previous == nil {
		return
	}
	live := liveSessions(view)
	for sessionNumber, host := range hostNamesBySession(previous) {
		if !live[sessionNumber] {
			service.sessionClosed(host, sessionNumber)
		}
	}
}

// serviceConfig returns the configuration and the outages of a service.
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
		TargetsOut: excludedTargets(view),
	}, true
}

// excludedTargets returns the targets that receive no new work: those that
// operators have taken out of service and those with a pending order.
func excludedTargets(view *registry.View) map[string]bool {
	if len(view.PendingOrders) == 0 {
		return view.TargetsOut
	}
	out := maps.Clone(view.PendingOrders)
	maps.Copy(out, view.TargetsOut)
	return out
}

// hostNamesBySession returns the host names of open and closing sessions.
func hostNamesBySession(view *registry.View) map[uint64]string {
	sessions := map[uint64]string{}
	for _, host := range view.Hosts {
		sessions[host.Session] = host.Name
	}
	for sessionNumber, host := range view.Closing {
		sessions[sessionNumber] = host.Name
	}
	return sessions
}

func liveSessions(view *registry.View) map[uint64]bool {
	live := map[uint64]bool{}
	for sessionNumber := range hostNamesBySession(view) {
		live[sessionNumber] = true
	}
	return live
}

// idleServiceDelay is how long a service must be unable to serve before
// requests to its dependents are refused. A new owner receives the state of its
// targets within a second.
const idleServiceDelay = 5 * time.Second

// unavailableServices returns the owned services that have been unable to serve
// for idleServiceDelay.
func (o *ownedServices) unavailableServices() []string {
	var names []string
	for _, service := range o.all() {
		if service.unavailableFor() >= idleServiceDelay {
			names = append(names, service.name)
		}
	}
	return names
}

// hasAvailableTarget reports whether at least one target of the service accepts
// work.
func hasAvailableTarget(status admission.Status) bool {
	for _, t := range status.Targets {
		if t.Limit > 0 {
			return true
		}
	}
	return false
}

func (o *ownedServices) acquire(m peer.AcquireRequest, reply peer.Reply) {
	service := o.find(m.Request.Service)
	if service == nil || service.owner.Fence != m.Fence {
		reply(notOwnerRefusal(m.Request.ID))
		return
	}
	service.acquire(m.Request, reply)
}

func (o *ownedServices) release(m peer.Releases) {
	for _, release := range m.Releases {
		if service := o.find(release.Service); service != nil {
			service.release(release)
		}
	}
}

// adopt registers the permits that a host holds. It rejects sessions that are
// not in the view: permits of a closed session would never be released, and the
// host of a new session retries.
func (o *ownedServices) adopt(m peer.AdoptPermits) bool {
	o.mu.Lock()
	service := o.byService[m.Service]
	live := o.view != nil && hostNamesBySession(o.view)[m.Session] != ""
	o.mu.Unlock()
	if service == nil || service.owner.Fence != m.Fence || !live {
		return false
	}
	service.adopt(m.Session, m.Permits)
	return true
}

func (o *ownedServices) handleTargetReport(m peer.TargetUpdate, reply peer.Reply) {
	service := o.find(m.Service)
	if service == nil {
		reply(peer.Failure{Message: "this host does not decide for the service now"})
		return
	}
	reply(peer.TargetUpdateAck{Known: service.handleTargetReport(m)})
}

func (o *ownedServices) replyStatus(m peer.StatusRequest, reply peer.Reply) {
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

// AvailableTargets returns the number of targets of a service that accept work.
// It is 0 on hosts that do not own the service.
func (h *Host) AvailableTargets(service string) int {
	owner := h.ownedServices.find(service)
	if owner == nil {
		return 0
	}
	available := 0
	for _, t := range owner.status().Targets {
		if t.Limit > 0 {
			available++
		}
	}
	return available
}
