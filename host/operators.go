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
)

const (
	// maxOperatorBody is the largest body of an operator's call.
	maxOperatorBody = 16 << 20
	// operatorTimeout bounds a commit for an operator.
	operatorTimeout = 10 * time.Second
	// lagPoll is the pause between looks at the hosts that lag.
	lagPoll = 50 * time.Millisecond
	// lagTimeout bounds one question to a host.
	lagTimeout = time.Second
)

// operators serves the operators' tool. Any host can; changes go to the leader.
type operators struct {
	host *Host
}

func (h *Host) operatorHandler() fasthttp.RequestHandler {
	server := operatorpb.NewOperatorsServer(&operators{host: h})
	return rpc.Serve(server, h.Key, h.Clock)
}

// Check validates a text and tells what it would change.
func (o *operators) Check(_ context.Context, request *operatorpb.CheckRequest) (*operatorpb.CheckResponse, error) {
	view, err := o.view()
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

// Apply commits a text and waits until it is in force.
func (o *operators) Apply(ctx context.Context, request *operatorpb.ApplyRequest) (*operatorpb.ApplyResponse, error) {
	before := o.host.session.View().Fleet
	result, err := o.propose(ctx, registry.ApplyFleet{
		Operation: o.operation(request.Operation),
		Base:      request.Base,
		Text:      request.Text,
		Force:     request.Force,
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
		response.Lagging = o.await(ctx, time.Duration(request.Wait), func(view *registry.View) bool {
			return view.FleetVersion >= result.Version
		})
	case registry.CodeConflict:
		response.Changes = o.conflict(request.Text, result)
	default:
		response.Faults = faultsOf(result)
	}
	return response, nil
}

// conflict tells how the winner's text differs from the operator's.
func (o *operators) conflict(text []byte, result registry.Result) []string {
	winner, err := fleet.Parse(result.Text)
	if err != nil {
		return nil
	}
	mine, err := fleet.Parse(text)
	if err != nil {
		return faultLines(err)
	}
	return changeLines(winner, mine)
}

func faultsOf(result registry.Result) []string {
	if len(result.Faults) == 0 {
		return []string{result.Err().Error()}
	}
	var lines []string
	for _, fault := range result.Faults {
		lines = append(lines, fault.String())
	}
	return lines
}

// Show returns the text in force.
func (o *operators) Show(context.Context, *operatorpb.ShowRequest) (*operatorpb.ShowResponse, error) {
	view, err := o.view()
	if err != nil {
		return nil, err
	}
	return &operatorpb.ShowResponse{Version: view.FleetVersion, Text: view.FleetText}, nil
}

// SetOutage takes a failure domain or a target out or brings it back.
func (o *operators) SetOutage(ctx context.Context, request *operatorpb.OutageRequest) (*operatorpb.OutageResponse, error) {
	result, err := o.propose(ctx, registry.SetOutage{
		Operation:     o.operation(request.Operation),
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
	lagging := o.await(ctx, time.Duration(request.Wait), func(view *registry.View) bool {
		return view.OutageVersion >= result.Version
	})
	return &operatorpb.OutageResponse{Revision: result.Version, Lagging: lagging}, nil
}

// Pin binds a target to a service.
func (o *operators) Pin(ctx context.Context, request *operatorpb.PinRequest) (*operatorpb.PinResponse, error) {
	result, err := o.propose(ctx, registry.Pin{
		Operation: o.operation(request.Operation),
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

// view returns the fleet as this host knows it. A host that has just started
// knows none: it must not show version 0 as the one in force.
func (o *operators) view() (*registry.View, error) {
	view := o.host.session.View()
	if view.Revision == 0 {
		return nil, twirp.Unavailable.Error("this host has not read the fleet's state yet")
	}
	return view, nil
}

// operation stamps an operation with its time. The ID alone tells a resend.
func (o *operators) operation(id string) registry.Operation {
	return registry.Operation{ID: id, Time: o.host.Clock.Now()}
}

func (o *operators) propose(ctx context.Context, command registry.Command) (registry.Result, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, o.host.Clock, operatorTimeout)
	defer cancel()
	result, err := o.host.session.Propose(ctx, command)
	if err != nil {
		return registry.Result{}, twirp.Unavailable.Error(err.Error())
	}
	return result, nil
}

// await waits until reached holds for every host's view, and returns the hosts
// for which it does not.
func (o *operators) await(ctx context.Context, wait time.Duration, reached func(*registry.View) bool) []string {
	ctx, cancel := clockwork.WithTimeout(ctx, o.host.Clock, wait)
	defer cancel()
	waiting := map[string]bool{}
	for name := range o.host.session.View().Hosts {
		waiting[name] = true
	}
	for {
		for _, name := range o.arrived(ctx, waiting, reached) {
			delete(waiting, name)
		}
		if len(waiting) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return slices.Sorted(maps.Keys(waiting))
		case <-o.host.Clock.After(lagPoll):
		}
	}
}

// arrived asks the hosts at the same time and returns those that have applied
// the change.
func (o *operators) arrived(ctx context.Context, waiting map[string]bool, reached func(*registry.View) bool) []string {
	ctx, cancel := clockwork.WithTimeout(ctx, o.host.Clock, lagTimeout)
	defer cancel()
	var asked sync.WaitGroup
	var mu sync.Mutex
	var arrived []string
	for name := range waiting {
		asked.Go(func() {
			if o.reached(ctx, name, reached) {
				mu.Lock()
				defer mu.Unlock()
				arrived = append(arrived, name)
			}
		})
	}
	asked.Wait()
	return arrived
}

// reached asks a host for the versions that it has applied. A host whose
// session has ended gives no work to targets, so it no longer counts.
func (o *operators) reached(ctx context.Context, name string, reached func(*registry.View) bool) bool {
	view := o.host.session.View()
	if name == o.host.Settings.Host {
		return reached(view)
	}
	host, ok := view.Hosts[name]
	if !ok {
		return reached(view)
	}
	answer, err := o.host.node.Call(ctx, host.PeerAddress, peer.VersionsRequest{})
	if err != nil {
		return false
	}
	told, ok := answer.(peer.VersionsResponse)
	return ok && reached(&registry.View{FleetVersion: told.FleetVersion, OutageVersion: told.OutageVersion})
}
