package host

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/twitchtv/twirp"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
	"comfreytiller.dev/common/rpc"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target/conn"
)

const (
	// maxOperatorBody is the maximum body size of an operator call in bytes.
	maxOperatorBody = 16 << 20
	// operatorTimeout bounds a proposal on behalf of an operator, and each
	// background attempt to commit the outcome of a claim.
	operatorTimeout = 10 * time.Second
	// lagPollInterval is the pause between polls of hosts that have not applied
	// a change.
	lagPollInterval = 50 * time.Millisecond
	// lagQueryTimeout bounds one query to a host.
	lagQueryTimeout = time.Second
)

// operatorService serves the operator API. Every host serves it; changes are
// forwarded to the leader.
type operatorService struct {
	host *Host
}

func (h *Host) operatorHandler() fasthttp.RequestHandler {
	server := operatorpb.NewOperatorsServer(&operatorService{host: h})
	serve := rpc.NewHandler(server, h.Key, h.Clock)
	return func(ctx *fasthttp.RequestCtx) {
		if conn.IsClosed(ctx.Conn()) {
			// The call may be older than later ones of the same operator.
			h.log.WithField("Path", string(ctx.Path())).Warn("Operator call is dropped: its caller has left.")
			ctx.Error("the caller has left\n", fasthttp.StatusServiceUnavailable)
			return
		}
		serve(ctx)
	}
}

// Check validates a configuration and lists the changes it would make.
func (o *operatorService) Check(_ context.Context, request *operatorpb.CheckRequest) (*operatorpb.CheckResponse, error) {
	view, err := o.currentView()
	if err != nil {
		return nil, err
	}
	response := &operatorpb.CheckResponse{Version: view.FleetVersion}
	parsed, err := fleet.Parse(request.Text)
	if err != nil {
		response.Faults = faultLines(err)
		return response, nil
	}
	response.Changes = changeLines(view.Fleet, parsed)
	return response, nil
}

func faultLines(err error) []string {
	var faults *fleet.Faults
	if !errors.As(err, &faults) {
		return []string{err.Error()}
	}
	var lines []string
	for _, fault := range faults.All {
		lines = append(lines, fault.String())
	}
	return lines
}

func changeLines(old, changed *fleet.Fleet) []string {
	var lines []string
	for _, change := range fleet.Diff(old, changed) {
		lines = append(lines, change.String())
	}
	return lines
}

// Apply commits a configuration and waits until it is in force.
func (o *operatorService) Apply(ctx context.Context, request *operatorpb.ApplyRequest) (*operatorpb.ApplyResponse, error) {
	before := o.host.session.View().Fleet
	result, err := o.propose(ctx, registry.ApplyFleet{
		Operation:   o.newOperation(request.Operation),
		BaseVersion: request.Base,
		Config:      request.Text,
		Force:       request.Force,
	})
	if err != nil {
		return nil, err
	}
	response := &operatorpb.ApplyResponse{Outcome: string(result.Code), Version: result.Version}
	switch result.Code {
	case registry.CodeOK:
		if parsed, parseErr := fleet.Parse(request.Text); parseErr == nil {
			response.Changes = changeLines(before, parsed)
		}
		response.Lagging = o.waitForHosts(ctx, time.Duration(request.Wait), func(view *registry.View) bool {
			return view.FleetVersion >= result.Version
		})
	case registry.CodeConflict:
		response.Changes = o.conflictChanges(request.Text, result)
	default:
		response.Faults = resultFaults(result)
	}
	return response, nil
}

// conflictChanges lists the differences between the configuration in force and
// the one that was rejected because of a version conflict.
func (o *operatorService) conflictChanges(config []byte, result registry.Result) []string {
	current, err := fleet.Parse(result.Config)
	if err != nil {
		return nil
	}
	rejected, err := fleet.Parse(config)
	if err != nil {
		return faultLines(err)
	}
	return changeLines(current, rejected)
}

func resultFaults(result registry.Result) []string {
	if len(result.Faults) == 0 {
		return []string{result.Err().Error()}
	}
	var lines []string
	for _, fault := range result.Faults {
		lines = append(lines, fault.String())
	}
	return lines
}

// Show returns the configuration in force.
func (o *operatorService) Show(context.Context, *operatorpb.ShowRequest) (*operatorpb.ShowResponse, error) {
	view, err := o.currentView()
	if err != nil {
		return nil, err
	}
	return &operatorpb.ShowResponse{Version: view.FleetVersion, Text: view.FleetConfig}, nil
}

// SetOutage takes a failure domain or a target out of service, or returns it to
// service.
func (o *operatorService) SetOutage(ctx context.Context, request *operatorpb.OutageRequest) (*operatorpb.OutageResponse, error) {
	result, err := o.propose(ctx, registry.SetOutage{
		Operation:     o.newOperation(request.Operation),
		FailureDomain: request.FailureDomain,
		Target:        request.Target,
		Out:           request.Out,
	})
	if err != nil {
		return nil, err
	}
	if err := result.Err(); err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	lagging := o.waitForHosts(ctx, time.Duration(request.Wait), func(view *registry.View) bool {
		return view.OutageVersion >= result.Version
	})
	return &operatorpb.OutageResponse{Revision: result.Version, Lagging: lagging}, nil
}

// Pin binds a target to a service.
func (o *operatorService) Pin(ctx context.Context, request *operatorpb.PinRequest) (*operatorpb.PinResponse, error) {
	result, err := o.propose(ctx, registry.Pin{
		Operation: o.newOperation(request.Operation),
		Target:    request.Target,
		Service:   request.Service,
	})
	if err != nil {
		return nil, err
	}
	if err := result.Err(); err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	return &operatorpb.PinResponse{Revision: result.Version}, nil
}

// currentView returns the view of this host. It fails on a host that has just
// started and has no view yet, which must not report version 0 as the version
// in force.
func (o *operatorService) currentView() (*registry.View, error) {
	view := o.host.session.View()
	if view.Revision == 0 {
		return nil, twirp.Unavailable.Error("this host has not read the fleet's state yet")
	}
	return view, nil
}

// newOperation returns an operation with the current time. Only the ID
// identifies a retried operation.
func (o *operatorService) newOperation(id string) registry.Operation {
	return registry.Operation{ID: id, Time: o.host.Clock.Now()}
}

func (o *operatorService) propose(ctx context.Context, command registry.Command) (registry.Result, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, o.host.Clock, operatorTimeout)
	defer cancel()
	result, err := o.host.session.Propose(ctx, command)
	if err != nil {
		return registry.Result{}, twirp.Unavailable.Error(err.Error())
	}
	return result, nil
}

// waitForHosts waits until applied is true for the view of every host, and
// returns the hosts for which it is not.
func (o *operatorService) waitForHosts(ctx context.Context, wait time.Duration, applied func(*registry.View) bool) []string {
	ctx, cancel := clockwork.WithTimeout(ctx, o.host.Clock, wait)
	defer cancel()
	waiting := map[string]bool{}
	for name := range o.host.session.View().Hosts {
		waiting[name] = true
	}
	for {
		for _, name := range o.hostsApplied(ctx, waiting, applied) {
			delete(waiting, name)
		}
		if len(waiting) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return slices.Sorted(maps.Keys(waiting))
		case <-o.host.Clock.After(lagPollInterval):
		}
	}
}

// hostsApplied queries the hosts concurrently and returns those whose view
// includes the change.
func (o *operatorService) hostsApplied(ctx context.Context, waiting map[string]bool, applied func(*registry.View) bool) []string {
	ctx, cancel := clockwork.WithTimeout(ctx, o.host.Clock, lagQueryTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	var upToDate []string
	for name := range waiting {
		calls.Go(func() {
			if o.hostApplied(ctx, name, applied) {
				mu.Lock()
				defer mu.Unlock()
				upToDate = append(upToDate, name)
			}
		})
	}
	calls.Wait()
	return upToDate
}

// hostApplied queries the versions that a host has applied. A host whose session
// has ended sends no requests to targets, so the view of this host is used in its
// place.
func (o *operatorService) hostApplied(ctx context.Context, name string, applied func(*registry.View) bool) bool {
	view := o.host.session.View()
	if name == o.host.Settings.Host {
		return applied(view)
	}
	host, ok := view.Hosts[name]
	if !ok {
		return applied(view)
	}
	reply, err := o.host.node.Call(ctx, host.PeerAddress, peer.VersionsRequest{})
	if err != nil {
		return false
	}
	versions, ok := reply.(peer.VersionsResponse)
	return ok && applied(&registry.View{FleetVersion: versions.FleetVersion, OutageVersion: versions.OutageVersion})
}
