package placement_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/placement"
	"comfreytiller.dev/target"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	gibibyte  = int64(1) << 30
	modelSize = 10 * gibibyte
)

// fakeTarget simulates a model engine.
type fakeTarget struct {
	placement.TargetState
	// checksFence makes it refuse orders below the highest fence it has seen.
	checksFence bool
	fence       uint64
	// ignoresOrders accepts orders but never completes them, wrongModel loads
	// another model than ordered, failLoads fails every load, and losesAnswers
	// drops all answers.
	ignoresOrders, wrongModel, failLoads, losesAnswers bool
	missing                                            bool
	// coldSeconds is how long the target is cold after a load.
	coldSeconds, coldSecondsLeft int
	running                      *placement.Order
	bytesLeft                    int64
	done                         map[string]bool
	ordersRun                    []placement.Order
}

// fakeFleet connects a planner to simulated targets, a weight store and a log.
type fakeFleet struct {
	now     time.Time
	config  *fleet.Fleet
	planner *placement.Planner
	targets []*fakeTarget
	// recorded are the orders in the log. While logStalls is set, the log does not
	// report that it holds them.
	recorded     []placement.Order
	logStalls    bool
	lastLogIndex uint64
	// sent, closed, logs, alarms and moved collect the planner's effects.
	sent       []placement.Order
	closed     []placement.CloseOrder
	logs       []string
	alarms     []placement.Alarm
	moved      []placement.MoveChats
	domainsOut map[string]bool
	targetsOut map[string]bool
	pins       map[string]string
	fence      uint64
	// maxLoads is the highest number of concurrent loads, loadedBytes the total
	// number of bytes loaded.
	maxLoads    int
	loadedBytes int64
	// storeRate is the weight store's rate in bytes per second; 0 for the
	// configured rate.
	storeRate int64
}

func newFakeFleet(config *fleet.Fleet, targets []*fakeTarget, options ...placement.Option) *fakeFleet {
	f := &fakeFleet{
		now:        time.Unix(1_800_000_000, 0),
		config:     config,
		targets:    targets,
		domainsOut: map[string]bool{},
		targetsOut: map[string]bool{},
		pins:       map[string]string{},
	}
	f.electPlanner(options...)
	return f
}

// electPlanner makes a new planner the leader and passes it the recorded orders.
func (f *fakeFleet) electPlanner(options ...placement.Option) {
	f.fence++
	f.planner = placement.New(options...)
	f.configure()
	f.planner.Observe(f.now, f.states())
	f.planner.BecomeLeader(f.now, f.fence, slices.Clone(f.recorded))
}

func (f *fakeFleet) configure() {
	f.planner.Configure(f.now, f.config, f.domainsOut, f.targetsOut, f.pins)
}

func (f *fakeFleet) states() []placement.TargetState {
	var states []placement.TargetState
	for _, t := range f.targets {
		if !t.missing {
			states = append(states, t.TargetState)
		}
	}
	return states
}

func (f *fakeFleet) target(name string) *fakeTarget {
	for _, t := range f.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// runFor advances the fleet by the given time in steps of one second.
func (f *fakeFleet) runFor(seconds int) {
	for range seconds {
		f.tick(time.Second)
	}
}

func (f *fakeFleet) tick(step time.Duration) {
	f.now = f.now.Add(step)
	f.advanceLoads(step)
	f.planner.Observe(f.now, f.states())
	f.applyEffects(f.planner.Step(f.now, f.now.Add(2*time.Second)))
}

// applyEffects performs the effects as a host does.
func (f *fakeFleet) applyEffects(effects []placement.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case placement.RecordOrder:
			f.lastLogIndex++
			e.Order.Fence = f.lastLogIndex
			f.recorded = append(f.recorded, e.Order)
			if !f.logStalls {
				f.planner.OrderRecorded(f.now, e.Order.ID, f.lastLogIndex)
			}
		case placement.SendOrder:
			f.sent = append(f.sent, e.Order)
			f.deliver(e.Order)
		case placement.CloseOrder:
			f.closed = append(f.closed, e)
			f.recorded = slices.DeleteFunc(f.recorded, func(o placement.Order) bool { return o.ID == e.ID })
		case placement.MoveChats:
			f.moved = append(f.moved, e)
		case placement.Log:
			f.logs = append(f.logs, e.Line)
		case placement.Alarm:
			f.alarms = append(f.alarms, e)
		}
	}
}

// deliver passes an order to its target and the answer to the planner.
func (f *fakeFleet) deliver(order placement.Order) {
	t := f.target(order.Target)
	if t == nil || t.missing {
		return
	}
	result := t.handleOrder(order)
	if !t.losesAnswers {
		f.planner.OrderAnswered(f.now, placement.OrderReply{
			ID: order.ID, Target: t.Name, Incarnation: t.Incarnation, Result: result,
		})
	}
}

// handleOrder runs an order once per ID, as the protocol requires.
func (t *fakeTarget) handleOrder(order placement.Order) placement.OrderResult {
	if t.checksFence && order.Fence < t.fence {
		return placement.Refused
	}
	t.fence = max(t.fence, order.Fence)
	if t.done == nil {
		t.done = map[string]bool{}
	}
	if t.done[order.ID] {
		return placement.Done
	}
	if t.running != nil && t.running.ID == order.ID {
		return placement.Accepted
	}
	if t.failLoads && order.Kind == placement.LoadModel {
		return placement.Failed
	}
	t.ordersRun = append(t.ordersRun, order)
	if order.Kind == placement.ExportCache || order.Kind == placement.ImportCache {
		t.done[order.ID] = true
		return placement.Done
	}
	t.running = &order
	t.Ready = false
	t.bytesLeft = order.Bytes
	return placement.Accepted
}

// advanceLoads advances all loads; they share the store's rate evenly.
func (f *fakeFleet) advanceLoads(step time.Duration) {
	var loading []*fakeTarget
	for _, t := range f.targets {
		t.coldSecondsLeft = max(0, t.coldSecondsLeft-1)
		t.Cold = t.coldSecondsLeft > 0
		if t.running != nil && !t.ignoresOrders {
			loading = append(loading, t)
		}
	}
	transfers := 0
	for _, t := range loading {
		if t.running.Kind == placement.LoadModel {
			transfers++
		}
	}
	f.maxLoads = max(f.maxLoads, transfers)
	for _, t := range loading {
		if transfers > 0 && t.running.Kind == placement.LoadModel {
			share := int64(step.Seconds() * float64(f.rate()) / float64(transfers))
			f.loadedBytes += min(share, t.bytesLeft)
			t.bytesLeft -= share
		}
		if t.bytesLeft <= 0 {
			t.finish()
		}
	}
}

func (f *fakeFleet) rate() int64 {
	if f.storeRate > 0 {
		return f.storeRate
	}
	if f.config.Store.BytesPerSecond > 0 {
		return f.config.Store.BytesPerSecond
	}
	return gibibyte
}

func (t *fakeTarget) finish() {
	o := t.running
	t.running = nil
	t.done[o.ID] = true
	t.Service, t.Model, t.Version, t.Adapters, t.Role = o.Service, o.Model, o.Version, o.Adapters, o.Role
	if t.wrongModel {
		t.Model = "another"
	}
	t.ModelBytes = o.Bytes
	t.CachedChats = 0
	t.Ready = true
	t.coldSecondsLeft = t.coldSeconds
	t.Cold = t.coldSeconds > 0
}

// restart starts a new incarnation of the target with nothing loaded.
func (t *fakeTarget) restart() {
	t.Incarnation++
	t.Service, t.Model, t.Version, t.Adapters = "", "", "", nil
	t.running, t.done, t.Ready, t.CachedChats = nil, nil, true, 0
}

// newEngines returns n engines spread over the domains, with nothing loaded.
func newEngines(n int, domains ...string) []*fakeTarget {
	var all []*fakeTarget
	for i := range n {
		all = append(all, &fakeTarget{
			TargetState: placement.TargetState{
				Name: fmt.Sprintf("engine-%03d", i), Incarnation: 1, FailureDomain: domains[i%len(domains)],
				Kind: target.KindModel, Ready: true, CachedChats: (i * 7) % 50, MovesCache: true,
			},
			checksFence: i%2 == 0,
		})
	}
	return all
}

// setService makes the target serve the service.
func (t *fakeTarget) setService(s *fleet.Service) {
	t.Service, t.Model, t.Version, t.Adapters = s.Name, s.Model, s.Version, s.Adapters
	t.Role = target.Role(s.Placement.Role)
	t.ModelBytes = modelSize
}

// newService returns a model service with the given minimum and spread.
func newService(name, model, version string, minTargets, spread int) fleet.Service {
	return fleet.Service{
		Name: name, Kind: "Model", Model: model, Version: version,
		Limits:    fleet.Limits{InFlightPerTarget: 10},
		Placement: fleet.Placement{Min: minTargets, Spread: spread},
	}
}

func newConfig(services ...fleet.Service) *fleet.Fleet {
	return &fleet.Fleet{
		Name: "test", FailureDomains: []string{"a", "b", "c", "d", "e"}, Services: services,
		Store: fleet.Store{ConcurrentLoads: 2, BytesPerSecond: gibibyte},
	}
}

// readyTargets counts the ready targets of the service.
func (f *fakeFleet) readyTargets(service string) int {
	n := 0
	for _, t := range f.targets {
		if t.Service == service && t.Ready && !t.missing && !f.domainsOut[t.FailureDomain] {
			n++
		}
	}
	return n
}

func (f *fakeFleet) hasAlarm(kind placement.AlarmKind) bool {
	return slices.ContainsFunc(f.alarms, func(a placement.Alarm) bool { return a.Kind == kind })
}
