package hub

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/admission/rollout"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target/roster"
)

const (
	// rolloutInterval is the interval between two decisions on a rollout.
	rolloutInterval = 50 * time.Millisecond
	// The counts and the elapsed time are committed at least each checkpointInterval, or each
	// checkpointPart of the duration if that is longer. A new leader that has lost its memory
	// continues from there.
	checkpointInterval = time.Second
	checkpointPart     = 0.05
	// lastCheckpoint is the time before the deadline from which on no counts are committed for
	// their own sake.
	lastCheckpoint = time.Second
	// initialCommitTime and initialSpreadTime are assumed until a step has been measured.
	// maxMeasuredSpread limits what is measured: a host that stops is awaited for longer. The
	// spread of one step counts as at most maxMeasuredStepRatio times that of the last one.
	initialCommitTime = 50 * time.Millisecond
	initialSpreadTime = 150 * time.Millisecond
	maxMeasuredSpread = time.Second
	commitTimeWeight  = 0.3
	// slowCommitDecay is how much of the longest commit is left with each later one.
	slowCommitDecay      = 0.85
	minMeasuredStep      = 10 * time.Millisecond
	maxMeasuredStepRatio = 4
)

// rolloutManager runs the rollouts on the leader, and keeps on each hub what the leader would
// need.
type rolloutManager struct {
	hub    *Hub
	log    *logrus.Logger
	bounds rollout.Bounds

	mu sync.Mutex
	// sums holds what hosts reported, by the process of the hub that they told.
	sums map[uint64]serviceSums
	// changed is set if the sums of this hub have changed since they were sent.
	changed bool

	// The fields below are used only by run.
	orderedAt  map[string]orderTime
	led        map[string]*ledRollout
	commitTime time.Duration
	// slowCommit is the longest of the latest commits.
	slowCommit time.Duration
	spreadTime time.Duration
}

// orderTime is when a rollout was ordered, by the monotonic clock of this hub.
type orderTime struct {
	number uint64
	at     time.Time
}

// ledRollout is a rollout that this hub leads.
type ledRollout struct {
	number     uint64
	controller *rollout.Controller
	// missing is by how much the sums are lower than the committed counts: hubs that were
	// lost knew more.
	missing registry.RolloutCounts
	share   float64
	// revision is that of the view with the share in force, known here since shareAt. spread
	// is set once the hosts have it.
	revision    uint64
	shareAt     time.Time
	spread      bool
	committedAt time.Time
	lastReason  string
}

func newRolloutManager(h *Hub) *rolloutManager {
	m := &rolloutManager{
		hub: h, log: logs.ForComponent(h.Log, "Rollout"), sums: map[uint64]serviceSums{}, orderedAt: map[string]orderTime{},
		led: map[string]*ledRollout{}, commitTime: initialCommitTime, slowCommit: initialCommitTime, spreadTime: initialSpreadTime,
	}
	if settings := h.Settings.Rollouts; settings != nil {
		m.bounds = rollout.Bounds{ExposedShare: settings.ExposedShare, ExposedExtra: settings.ExposedExtra, RevertWithin: settings.RevertWithin}
	}
	return m
}

// run runs the rollouts while this hub leads, until ctx ends.
func (m *rolloutManager) run(ctx context.Context) {
	if m.hub.Settings.Rollouts == nil {
		return
	}
	ticks.Every(ctx, m.hub.Clock, rolloutInterval, func(ctx context.Context) {
		view := m.hub.replica.Machine.View()
		m.measureElapsed(view.Rollouts)
		m.dropOld(view.Rollouts)
		leadership := m.hub.replica.Quorum.Leadership()
		if !leadership.IsLeader {
			clear(m.led)
		}
		if !leadership.IsLeader || !leadership.Confirmed {
			return
		}
		for _, service := range slices.Sorted(maps.Keys(view.Rollouts)) {
			m.lead(ctx, service)
		}
	})
}

// measureElapsed measures the time since the orders, also while another hub leads.
func (m *rolloutManager) measureElapsed(rollouts map[string]registry.Rollout) {
	now := m.hub.Clock.Now()
	for service, current := range rollouts {
		known, at := m.orderedAt[service], now.Add(-current.Elapsed)
		if known.number != current.Number || at.Before(known.at) {
			m.orderedAt[service] = orderTime{current.Number, at}
		}
	}
}

// lead decides on the next step of a service's rollout and commits it. A service that is not in
// the configuration has no requests, so that its rollout waits.
func (m *rolloutManager) lead(ctx context.Context, service string) {
	view, now := m.hub.replica.Machine.View(), m.hub.Clock.Now()
	current, exists := view.Rollouts[service]
	if !exists || current.State != registry.RolloutServing || view.Fleet == nil {
		delete(m.led, service)
		return
	}
	ordered := m.orderedAt[service]
	if _, configured := view.Fleet.Service(service); !configured || ordered.number != current.Number {
		return
	}
	counts := m.total(service, current.Number)
	led := m.led[service]
	if led == nil || led.number != current.Number {
		led = &ledRollout{number: current.Number, controller: rollout.NewController(m.bounds), share: -1, committedAt: now}
		led.missing = missingCounts(current.Counts, &counts)
		m.led[service] = led
	}
	counts.Requests += led.missing.Requests
	counts.Exposed += led.missing.Exposed
	m.trackSpread(now, led, &current, view)
	input := rollout.Input{
		Now: now, Elapsed: now.Sub(ordered.at), Duration: current.Duration, Share: current.Share, PromptShare: current.PromptShare, Counts: &counts,
		HostsHaveShare: led.spread, CommitTime: m.commitTime, SlowCommitTime: m.slowCommit, SpreadTime: m.spreadTime,
	}
	if current.Share >= 1 {
		input.RunningOnOthers = m.runningOnOthers(service, current.Version)
	}
	decision := led.controller.Decide(input)
	if decision.Action == rollout.Keep {
		m.logObstacle(led, service, &current, &decision)
		if !m.isCheckpointDue(now, led, &current, &input) {
			return
		}
	}
	m.commitStep(ctx, service, &current, &input, &decision)
	led.committedAt = m.hub.Clock.Now()
}

// missingCounts returns by how much the sums are lower than the committed counts.
func missingCounts(committed registry.RolloutCounts, sums *rollout.ServiceReport) registry.RolloutCounts {
	return registry.RolloutCounts{
		Requests: committed.Requests - min(committed.Requests, sums.Requests), Exposed: committed.Exposed - min(committed.Exposed, sums.Exposed),
	}
}

// trackSpread measures how long the hosts take to get a share.
func (m *rolloutManager) trackSpread(now time.Time, led *ledRollout, current *registry.Rollout, view *registry.View) {
	if led.share != current.Share {
		led.share, led.revision, led.shareAt, led.spread = current.Share, view.Revision, now, false
	}
	if led.spread || m.hub.watchers.anyBehind(led.revision) {
		return
	}
	led.spread = true
	measured := min(max(now.Sub(led.shareAt)+rolloutInterval, minMeasuredStep), maxMeasuredSpread)
	m.spreadTime = min(measured, maxMeasuredStepRatio*m.spreadTime)
}

// runningOnOthers returns the number of requests of the service in flight on the targets of
// other versions.
func (m *rolloutManager) runningOnOthers(service, version string) int {
	entries, _ := m.hub.roster.ChangedSince(0)
	var others []roster.Key
	for i := range entries {
		if entries[i].Service == service && entries[i].Version != version {
			others = append(others, roster.KeyOf(entries[i].Name))
		}
	}
	return m.hub.loads.running(others)
}

// running returns the number of requests in flight on the targets.
func (l *loadTracker) running(targets []roster.Key) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, sum := map[roster.Key]int{}, 0
	l.addReports(total, l.hosts)
	l.addReports(total, l.hubs)
	for _, target := range targets {
		sum += total[target]
	}
	return sum
}

func (m *rolloutManager) isCheckpointDue(now time.Time, led *ledRollout, current *registry.Rollout, input *rollout.Input) bool {
	interval := max(checkpointInterval, time.Duration(checkpointPart*float64(current.Duration)))
	return now.Sub(led.committedAt) >= interval && current.Duration-input.Elapsed > lastCheckpoint
}

// commitStep commits a decision. If the result is unknown, the next decision is made on the
// state that is then in force.
func (m *rolloutManager) commitStep(ctx context.Context, service string, current *registry.Rollout, input *rollout.Input, decision *rollout.Decision) {
	responses, bad := input.Counts.Responses()
	command := registry.StepRollout{
		Service: service, Number: current.Number, BaseStep: current.Step, State: registry.RolloutServing, Share: current.Share, PromptShare: current.PromptShare, Elapsed: input.Elapsed,
		Counts: registry.RolloutCounts{Requests: input.Counts.Requests, Exposed: input.Counts.Exposed, Responses: responses, Failures: bad},
	}
	switch decision.Action {
	case rollout.SetShare:
		command.Share, command.PromptShare = decision.Share, decision.PromptShare
	case rollout.Complete:
		command.State, command.Share, command.PromptShare = registry.RolloutComplete, 1, 1
	case rollout.Revert:
		command.State, command.Share, command.PromptShare = registry.RolloutReverted, 0, 0
	case rollout.Keep:
	}
	ctx, cancel := clockwork.WithTimeout(ctx, m.hub.Clock, operatorCallTimeout)
	defer cancel()
	sentAt := m.hub.Clock.Now()
	result, err := m.hub.proposer.Propose(ctx, command)
	took := m.hub.Clock.Since(sentAt)
	fields := m.stepFields(service, current, input, decision, &command)
	if err != nil || result.Code != registry.CodeOK {
		m.log.WithFields(fields).WithField("Error", err).WithField("Code", result.Code).
			Warnf("Step of the rollout of service %q was not committed.", service)
		return
	}
	m.commitTime += time.Duration(commitTimeWeight * float64(max(min(took, maxMeasuredStepRatio*m.commitTime), minMeasuredStep)-m.commitTime))
	m.slowCommit = max(took, time.Duration(slowCommitDecay*float64(m.slowCommit)))
	m.recordStep(service, current.Version, &command, decision)
	if decision.Action == rollout.Keep {
		return
	}
	m.log.WithFields(fields).WithField("Took", took).Infof("Rollout of service %q to version %q: %s.", service, current.Version, decision.Action)
}

func (m *rolloutManager) stepFields(service string, current *registry.Rollout, input *rollout.Input, decision *rollout.Decision, command *registry.StepRollout) logrus.Fields {
	return logrus.Fields{
		"Service": service, "Version": current.Version, "Number": current.Number, "Step": current.Step + 1, "Action": decision.Action,
		"Reason": decision.Reason, "Share": command.Share, "LastShare": current.Share, "PromptShare": command.PromptShare, "Elapsed": input.Elapsed, "Duration": current.Duration,
		"Requests": command.Counts.Requests, "Exposed": command.Counts.Exposed, "Responses": command.Counts.Responses, "Failures": command.Counts.Failures,
		"Rate": decision.Rate, "OnOthers": input.RunningOnOthers, "CommitTime": input.CommitTime, "SpreadTime": input.SpreadTime,
	}
}

// logObstacle logs why a step that is due is not taken, once for each reason.
func (m *rolloutManager) logObstacle(led *ledRollout, service string, current *registry.Rollout, decision *rollout.Decision) {
	if (decision.Reason == "") == (led.lastReason == "") {
		return
	}
	led.lastReason = decision.Reason
	if decision.Reason != "" {
		m.log.WithFields(logrus.Fields{"Service": service, "Version": current.Version, "Number": current.Number, "Reason": decision.Reason}).
			Infof("Rollout of service %q waits: %s.", service, decision.Reason)
	}
}

// recordStep updates the metrics of a rollout.
func (m *rolloutManager) recordStep(service, version string, command *registry.StepRollout, decision *rollout.Decision) {
	scope := m.hub.Scope.Tagged(map[string]string{"service": service, "version": version})
	scope.Gauge("rollout_share").Update(command.Share)
	scope.Gauge("rollout_requests").Update(float64(command.Counts.Requests))
	scope.Gauge("rollout_exposed").Update(float64(command.Counts.Exposed))
	scope.Gauge("rollout_responses").Update(float64(command.Counts.Responses))
	scope.Gauge("rollout_failures").Update(float64(command.Counts.Failures))
	switch decision.Action {
	case rollout.Complete:
		scope.Counter("rollouts_complete").Inc(1)
	case rollout.Revert:
		scope.Counter("rollouts_reverted").Inc(1)
	case rollout.Keep, rollout.SetShare:
	}
}
