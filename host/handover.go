package host

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

// sendCopies sends each backup host what changed, and all to a new one.
func (o *owners) sendCopies(now time.Time) {
	view := o.session.View()
	for _, service := range o.all() {
		backup, ok := view.Hosts[view.Owners[service.name].Backup]
		if !ok {
			continue
		}
		limit := copyChats
		if service.copiedTo != backup.Session {
			service.copiedTo, limit = backup.Session, 0
		}
		o.sendCopy(backup.PeerAddress, service, service.export(now, limit))
	}
}

func (o *owners) sendCopy(address string, service *owned, copied admission.Copy) {
	data, err := encodeCopy(copied)
	if err != nil {
		o.log.Warnf("Copy of %s is not sent: %v.", service.name, err)
		return
	}
	o.host.node.Send(address, peer.ServiceStateChunk{Service: service.name, Fence: service.owner.Fence, Data: data})
}

// keepCopy keeps a copy for the case that this host follows its owner.
func (o *owners) keepCopy(m peer.ServiceStateChunk) {
	copied, err := decodeCopy(m.Data)
	if err != nil {
		o.log.Warnf("Copy of %s is dropped: %v.", m.Service, err)
		return
	}
	o.mu.Lock()
	service := o.owned[m.Service]
	if service == nil {
		o.follows(m.Service, copied)
	}
	o.mu.Unlock()
	if service != nil && service.owner.Fence > m.Fence {
		service.do(func(now time.Time) { service.imports(now, copied) })
	}
}

// follows adds to the copy of a service of another owner; the lock is held.
func (o *owners) follows(name string, copied admission.Copy) {
	if copied.Current {
		o.handed[name] = copied
		return
	}
	followed, ok := o.followed[name]
	if !ok {
		config, known := serviceConfig(o.session.View(), name)
		if !known {
			return
		}
		followed = admission.New(config, 0, admission.WithChats(ownerChats, ownerChatAge))
		o.followed[name] = followed
	}
	followed.Import(o.clock.Now(), copied)
}

// moveAway hands over the services that another host should own.
func (o *owners) moveAway(ctx context.Context, view *registry.View) {
	for _, service := range o.all() {
		if !view.ShouldMove(service.name) && !service.isStopped() || !o.startMove(service.name) {
			continue
		}
		go func() {
			ctx, cancel := clockwork.WithTimeout(ctx, o.clock, handoverTimeout)
			defer cancel()
			o.handOver(ctx, service)
		}()
	}
}

func (o *owners) startMove(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.moving[service] {
		return false
	}
	o.moving[service] = true
	return true
}

func (o *owners) endMove(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.moving, service)
}

// handOverAll gives up every service before the host stops.
func (o *owners) handOverAll(ctx context.Context) {
	for _, service := range o.all() {
		if o.startMove(service.name) {
			o.handOver(ctx, service)
		}
	}
}

// handOver stops granting, sends the memory to the next owner and moves the
// service there. Without another host the service stays.
func (o *owners) handOver(ctx context.Context, service *owned) {
	defer o.endMove(service.name)
	view := o.session.View()
	copied := service.stop()
	if backup, ok := view.Hosts[view.Owners[service.name].Backup]; ok {
		data, err := encodeCopy(copied)
		if err == nil {
			part := peer.ServiceStateChunk{Service: service.name, Fence: service.owner.Fence, Data: data}
			_, err = o.host.node.Call(ctx, backup.PeerAddress, part)
		}
		if err != nil {
			o.log.Warnf("Memory of %s is not handed over: %v.", service.name, err)
		}
	}
	o.proposeMove(ctx, service)
}

// proposeMove proposes the move until it has an answer. The service is kept only
// if no other host can own it: after any other outcome it may have moved.
func (o *owners) proposeMove(ctx context.Context, service *owned) {
	command := registry.MoveOwner{
		Service: service.name,
		Session: service.owner.Session,
		Fence:   service.owner.Fence,
	}
	result, err := o.session.Propose(ctx, command)
	if err != nil {
		o.log.Warnf("Has stopped deciding for %s, whose move has no answer: %v.", service.name, err)
		return
	}
	switch err := result.Err(); {
	case err == nil:
		o.log.Infof("Hands over %s.", service.name)
	case errors.Is(err, registry.ErrNoCandidate):
		service.resume()
		o.log.Warnf("Keeps %s: %v.", service.name, err)
	default:
		o.log.Warnf("Does not decide for %s any more: %v.", service.name, err)
	}
}
