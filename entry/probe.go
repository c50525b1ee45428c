package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/target/roster"
)

const (
	// probeInterval is the interval between attempts to connect to an
	// unreachable target.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one attempt.
	probeTimeout = 300 * time.Millisecond
	// silentTargetTTL is how long an unreachable target is kept after its last
	// announcement.
	silentTargetTTL = time.Minute
)

// probeUnreachable probes the unreachable targets until ctx ends.
func (t *targetSelector) probeUnreachable(ctx context.Context) {
	ticks.Every(ctx, t.clock, probeInterval, func(ctx context.Context) {
		for name, address := range t.collectUnreachable() {
			go t.probe(ctx, name, address)
		}
	})
}

// collectUnreachable returns the addresses of the unreachable targets by name.
// It removes those that have also been silent for silentTargetTTL and have none
// of this host's requests in flight.
func (t *targetSelector) collectUnreachable() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var addresses map[string]string
	for name, s := range t.byName {
		if !s.unreachable || s.State != roster.Ready {
			continue
		}
		if s.Silent && now.Sub(s.LastSeen) > silentTargetTTL && s.ownInFlight == 0 {
			delete(t.byName, name)
			t.rebuildIndex()
			continue
		}
		if addresses == nil {
			addresses = map[string]string{}
		}
		addresses[name] = s.Address
	}
	return addresses
}

// probe tries to connect to a target and marks it as reachable on success.
func (t *targetSelector) probe(ctx context.Context, name, address string) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.clock, probeTimeout)
	defer cancel()
	err := t.entry.sender.Probe(ctx, address)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byName[name]
	if err != nil || s == nil || s.Address != address {
		return
	}
	s.unreachable, s.consecutiveFailures = false, 0
	t.log.WithFields(logrus.Fields{"Target": name, "Address": address}).Info("Target is reachable again.")
}
