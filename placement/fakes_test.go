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

// fakeTarget is a stand-in engine.
type fakeTarget struct {
	placement.TargetState
	// checksFence has it refuse an order below the highest fence it has seen.
	checksFence bool
	fence       uint64
	// ignoresOrders accepts orders and never finishes; wrongModel loads another
	// one; failLoads fails every load; losesAnswers gives none.
	ignoresOrders, wrongModel, failLoads, losesAnswers bool
	missing                                            bool
	// coldFor is the number of seconds that it is cold after a load.
	coldFor, coldLeft int
	running           *placement.Order
	left              int64
	done              map[string]bool
	ran               []placement.Order
}

// fakeFleet joins a planner with stand-in targets, a weight store and a log.
type fakeFleet struct {
	now     time.Time
	text    *fleet.Fleet
	planner *placement.Planner
	targets []*fakeTarget
	// recorded are the orders that the log holds; logStalls keeps it from
	// saying so.
	recorded  []placement.Order
	logStalls bool
	logged    uint64
	// sent, logs and alarms collect the effects.
	sent    []placement.Order
	closed  []placement.CloseOrder
	logs    []string
	alarms  []placement.Alarm
	moved   []placement.MoveChats
	domains map[string]bool
	out     map[string]bool
	pins    map[string]string
	fence   uint64
	// mostLoads is the largest number of loads that ran at once, loaded their
	// bytes.
	mostLoads int
	loaded    int64
	// storeRate is what the weight store gives; 0 for what the text says.
	storeRate int64
}

func newFakeFleet(text *fleet.Fleet, targets []*fakeTarget, options ...placement.Option) *fakeFleet {
	f := &fakeFleet{
		now:     time.Unix(1_800_000_000, 0),
		text:    text,
		targets: targets,
		domains: map[string]bool{},
		out:     map[string]bool{},
		pins:    map[string]string{},
	}
	f.elect(options...)
	return f
}

// elect starts a planner as the new leader with the recorded orders.
func (f *fakeFleet) elect(options ...placement.Option) {
	f.fence++
	f.planner = placement.New(options...)
	f.configure()
	f.planner.Observe(f.now, f.states())
	f.planner.BecomeLeader(f.now, f.fence, slices.Clone(f.recorded))
}

func (f *fakeFleet) configure() {
	f.planner.Configure(f.now, f.text, f.domains, f.out, f.pins)
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

// run steps the fleet second by second.
func (f *fakeFleet) run(seconds int) {
	for range seconds {
		f.tick(time.Second)
	}
}

func (f *fakeFleet) tick(step time.Duration) {
	f.now = f.now.Add(step)
	f.load(step)
	f.planner.Observe(f.now, f.states())
	f.carryOut(f.planner.Step(f.now, f.now.Add(2*time.Second)))
}

// carryOut does what the host does with the effects.
func (f *fakeFleet) carryOut(effects []placement.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case placement.RecordOrder:
			f.logged++
			e.Order.Fence = f.logged
			f.recorded = append(f.recorded, e.Order)
			if !f.logStalls {
				f.planner.OrderRecorded(f.now, e.Order.ID, f.logged)
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

// deliver hands an order to its target and the answer back.
func (f *fakeFleet) deliver(order placement.Order) {
	t := f.target(order.Target)
	if t == nil || t.missing {
		return
	}
	result := t.take(order)
	if !t.losesAnswers {
		f.planner.OrderAnswered(f.now, placement.OrderReply{
			ID: order.ID, Target: t.Name, Incarnation: t.Incarnation, Result: result,
		})
	}
}

// take runs an order as the protocol says: once per ID.
func (t *fakeTarget) take(order placement.Order) placement.OrderResult {
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
	t.ran = append(t.ran, order)
	if order.Kind == placement.ExportCache || order.Kind == placement.ImportCache {
		t.done[order.ID] = true
		return placement.Done
	}
	t.running = &order
	t.Ready = false
	t.left = order.Bytes
	return placement.Accepted
}

// load moves all loads on, at the store's rate shared evenly.
func (f *fakeFleet) load(step time.Duration) {
	var loading []*fakeTarget
	for _, t := range f.targets {
		t.coldLeft = max(0, t.coldLeft-1)
		t.Cold = t.coldLeft > 0
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
	f.mostLoads = max(f.mostLoads, transfers)
	for _, t := range loading {
		if transfers > 0 && t.running.Kind == placement.LoadModel {
			share := int64(step.Seconds() * float64(f.rate()) / float64(transfers))
			f.loaded += min(share, t.left)
			t.left -= share
		}
		if t.left <= 0 {
			t.finish()
		}
	}
}

func (f *fakeFleet) rate() int64 {
	if f.storeRate > 0 {
		return f.storeRate
	}
	if f.text.Store.BytesPerSecond > 0 {
		return f.text.Store.BytesPerSecond
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
	t.coldLeft = t.coldFor
	t.Cold = t.coldFor > 0
}

// restart gives a target a new start with nothing loaded.
func (t *fakeTarget) restart() {
	t.Incarnation++
	t.Service, t.Model, t.Version, t.Adapters = "", "", "", nil
	t.running, t.done, t.Ready, t.CachedChats = nil, nil, true, 0
}

// engines returns n engines spread over the domains, with nothing loaded.
func engines(n int, domains ...string) []*fakeTarget {
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

// serving has the target serve the service.
func (t *fakeTarget) serving(s *fleet.Service) {
	t.Service, t.Model, t.Version, t.Adapters = s.Name, s.Model, s.Version, s.Adapters
	t.Role = target.Role(s.Placement.Role)
	t.ModelBytes = modelSize
}

// service returns a model service that wishes for at least least targets.
func service(name, model, version string, least, spread int) fleet.Service {
	return fleet.Service{
		Name: name, Kind: "Model", Model: model, Version: version,
		Limits:    fleet.Limits{InFlightPerTarget: 10},
		Placement: fleet.Placement{Min: least, Spread: spread},
	}
}

func textOf(services ...fleet.Service) *fleet.Fleet {
	return &fleet.Fleet{
		Name: "test", FailureDomains: []string{"a", "b", "c", "d", "e"}, Services: services,
		Store: fleet.Store{ConcurrentLoads: 2, BytesPerSecond: gibibyte},
	}
}

// ready counts the targets that serve the service.
func (f *fakeFleet) ready(service string) int {
	n := 0
	for _, t := range f.targets {
		if t.Service == service && t.Ready && !t.missing && !f.domains[t.FailureDomain] {
			n++
		}
	}
	return n
}

func (f *fakeFleet) alarmed(kind placement.AlarmKind) bool {
	return slices.ContainsFunc(f.alarms, func(a placement.Alarm) bool { return a.Kind == kind })
}
