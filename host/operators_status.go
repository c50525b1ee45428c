package host

import (
	"context"
	"maps"
	"slices"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/comfreytiller/host/hostpb"
	"comfreytiller.dev/comfreytiller/operator/operatorpb"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

// Status returns the state of the fleet as seen by this host and by the owners
// of the services.
func (o *operatorService) Status(ctx context.Context, _ *operatorpb.StatusRequest) (*operatorpb.StatusResponse, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, o.host.Clock, ownerTimeout)
	defer cancel()
	view, err := o.currentView()
	if err != nil {
		return nil, err
	}
	response := &operatorpb.StatusResponse{
		Version:    view.FleetVersion,
		Revision:   view.Revision,
		DomainsOut: slices.Sorted(maps.Keys(view.DomainsOut)),
		TargetsOut: slices.Sorted(maps.Keys(view.TargetsOut)),
	}
	for _, name := range slices.Sorted(maps.Keys(view.Hosts)) {
		host := view.Hosts[name]
		response.Hosts = append(response.Hosts, &operatorpb.HostStatus{
			Name:          host.Name,
			FailureDomain: host.FailureDomain,
			PeerAddress:   host.PeerAddress,
			Session:       host.Session,
		})
	}
	if view.Fleet != nil {
		for _, service := range view.Fleet.Services {
			response.Services = append(response.Services, o.serviceStatus(ctx, view, service.Name))
		}
	}
	response.Replicas = o.replicaStatus(ctx, view)
	o.placementStatus(ctx, response)
	return response, nil
}

// placementStatus adds the orders and alarms of the leader to the response.
// They are omitted if the leader does not answer.
func (o *operatorService) placementStatus(ctx context.Context, response *operatorpb.StatusResponse) {
	reply, err := o.host.node.Call(ctx, o.host.session.LeaderAddress(), peer.StatusRequest{})
	if err != nil {
		return
	}
	statusReply, ok := reply.(peer.StatusResponse)
	if !ok {
		return
	}
	status, err := decodePlacement(statusReply.Status)
	if err != nil {
		return
	}
	for _, order := range status.Orders {
		response.Orders = append(response.Orders, &operatorpb.OrderStatus{
			Id:      order.Id,
			Target:  order.Target,
			Kind:    order.Kind,
			Service: order.Service,
			State:   order.State,
			Reason:  order.Reason,
		})
	}
	response.Alarms = status.Alarms
	for _, service := range status.Services {
		if service.RollStopped != "" {
			response.Alarms = append(response.Alarms, "RollStopped: "+service.Name+": "+service.RollStopped)
		}
	}
	waits := map[string]string{}
	for _, t := range status.Targets {
		waits[t.Name] = t.Waits
	}
	for _, service := range response.Services {
		for _, t := range service.Targets {
			t.Reason = waits[t.Name]
		}
	}
}

func (o *operatorService) serviceStatus(ctx context.Context, view *registry.View, name string) *operatorpb.ServiceStatus {
	owner, ok := view.Owners[name]
	status := &operatorpb.ServiceStatus{Name: name}
	if !ok {
		status.Problem = "no host can own the service"
		return status
	}
	status.Owner, status.Backup, status.Fence = owner.Host, owner.Backup, owner.Fence
	reply, err := o.host.permitClient.call(ctx, view, owner, peer.StatusRequest{Service: name})
	if err != nil {
		status.Problem = "the owner does not answer: " + err.Error()
		return status
	}
	statusReply, ok := reply.(peer.StatusResponse)
	if !ok {
		status.Problem = "the owner does not own the service now"
		return status
	}
	decoded, err := decodeStatus(statusReply.Status)
	if err != nil {
		status.Problem = err.Error()
		return status
	}
	fillServiceStatus(status, decoded)
	return status
}

func fillServiceStatus(status *operatorpb.ServiceStatus, reported *hostpb.Status) {
	status.Queued = int32(reported.Waiting)
	for _, t := range reported.Targets {
		status.Serving = status.Serving || (reported.Adopted && t.Limit > 0)
		status.Targets = append(status.Targets, &operatorpb.TargetStatus{
			Name:          t.Name,
			Service:       reported.Service,
			FailureDomain: t.FailureDomain,
			State:         t.State,
			InFlight:      int32(t.InFlight),
			Limit:         int32(t.Limit),
		})
	}
	if !reported.Adopted {
		status.Problem = "the new owner still counts earlier permits"
	}
}
