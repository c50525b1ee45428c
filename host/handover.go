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

// replicateToBackups sends each backup host the changed chats, and a new backup
// host the complete state.
func (o *ownedServices) replicateToBackups(now time.Time) {
	view := o.session.View()
	for _, service := range o.all() {
		backup, ok := view.Hosts[view.Owners[service.name].Backup]
		if !ok {
			continue
		}
		limit := maxReplicatedChats
		if service.backupSession != backup.Session {
			service.backupSession, limit = backup.Session, 0
		}
		o.sendToBackup(backup.PeerAddress, service, service.exportForBackup(now, limit))
	}
}

func (o *ownedServices) sendToBackup(address string, service *serviceOwner, exported admission.ExportedState) {
	data, err := encodeServiceState(exported)
	if err != nil {
		o.log.Warnf("Cannot send the state of service %s to its backup host: %v.", service.name, err)
		return
	}
	o.host.node.Send(address, peer.ServiceStateChunk{Service: service.name, Fence: service.owner.Fence, Data: data})
}

// storeReplicatedState stores the state of a service in case this host becomes
// its next owner. If this host already owns the service under a newer fencing
// token, the state is imported right away.
func (o *ownedServices) storeReplicatedState(m peer.ServiceStateChunk) {
	exported, err := decodeServiceState(m.Data)
	if err != nil {
		o.log.Warnf("Dropped invalid replicated state of service %s: %v.", m.Service, err)
		return
	}
	o.mu.Lock()
	service := o.byService[m.Service]
	if service == nil {
		o.mergeReplicatedState(m.Service, exported)
	}
	o.mu.Unlock()
	if service != nil && service.owner.Fence > m.Fence {
		service.update(func(now time.Time) { service.importState(now, exported) })
	}
}

// mergeReplicatedState merges the received state of a service that another host
// owns. o.mu must be held.
func (o *ownedServices) mergeReplicatedState(name string, exported admission.ExportedState) {
	if exported.Current {
		o.handedOverState[name] = exported
		return
	}
	standby, ok := o.standby[name]
	if !ok {
		config, known := serviceConfig(o.session.View(), name)
		if !known {
			return
		}
		standby = admission.New(config, 0, admission.WithChatLimits(maxChatsPerService, maxChatAge))
		o.standby[name] = standby
	}
	standby.Import(o.clock.Now(), exported)
}

// startHandovers hands over the services that should have another owner.
func (o *ownedServices) startHandovers(ctx context.Context, view *registry.View) {
	for _, service := range o.all() {
		if !view.ShouldMoveOwner(service.name) && !service.isStopped() || !o.beginHandover(service.name) {
			continue
		}
		go func() {
			ctx, cancel := clockwork.WithTimeout(ctx, o.clock, handoverTimeout)
			defer cancel()
			o.handOver(ctx, service)
		}()
	}
}

func (o *ownedServices) beginHandover(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.handingOver[service] {
		return false
	}
	o.handingOver[service] = true
	return true
}

func (o *ownedServices) endHandover(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.handingOver, service)
}

// handOverAll hands over every service before the host shuts down.
func (o *ownedServices) handOverAll(ctx context.Context) {
	for _, service := range o.all() {
		if o.beginHandover(service.name) {
			o.handOver(ctx, service)
		}
	}
}

// handOver stops granting permits, sends the state to the backup host and moves
// the service there. If no other host can own the service, it stays here.
func (o *ownedServices) handOver(ctx context.Context, service *serviceOwner) {
	defer o.endHandover(service.name)
	view := o.session.View()
	exported := service.stopGranting()
	if backup, ok := view.Hosts[view.Owners[service.name].Backup]; ok {
		data, err := encodeServiceState(exported)
		if err == nil {
			part := peer.ServiceStateChunk{Service: service.name, Fence: service.owner.Fence, Data: data}
			_, err = o.host.node.Call(ctx, backup.PeerAddress, part)
		}
		if err != nil {
			o.log.Warnf("Cannot hand over the state of service %s: %v.", service.name, err)
		}
	}
	o.proposeOwnerMove(ctx, service)
}

// proposeOwnerMove proposes the move of a service. The service is only kept if
// no other host can own it, since after any other outcome it may have moved.
func (o *ownedServices) proposeOwnerMove(ctx context.Context, service *serviceOwner) {
	command := registry.MoveOwner{
		Service: service.name,
		Session: service.owner.Session,
		Fence:   service.owner.Fence,
	}
	result, err := o.session.Propose(ctx, command)
	if err != nil {
		o.log.Warnf("Granting for service %s has stopped, and the result of its move is unknown: %v.", service.name, err)
		return
	}
	switch err := result.Err(); {
	case err == nil:
		o.log.Infof("Service %s was handed over.", service.name)
	case errors.Is(err, registry.ErrNoCandidate):
		service.resume()
		o.log.Warnf("Service %s stays on this host: %v.", service.name, err)
	default:
		o.log.Warnf("Granting for service %s has stopped: %v.", service.name, err)
	}
}
