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
	// probeInterval is the pause between tries to connect to a target that could
	// not be reached.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one try.
	probeTimeout = 300 * time.Millisecond
	// forgetSilent is how long a target that is silent and can't be reached is
	// kept.
	forgetSilent = time.Minute
)

// run looks after the targets that could not be reached.
func (t *targets) run(ctx context.Context) {
	ticks.Every(ctx, t.clock, probeInterval, func(ctx context.Context) {
		for name, address := range t.unreachable() {
			go t.probe(ctx, name, address)
		}
	})
}

// unreachable returns the addresses of targets that could not be reached, by
// name, and forgets those that are silent, too.
func (t *targets) unreachable() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var addresses map[string]string
	for name, k := range t.byName {
		if !k.unreachable || k.State != roster.Ready {
			continue
		}
		if k.Silent && now.Sub(k.Heard) > forgetSilent && k.own == 0 {
			delete(t.byName, name)
			t.index()
			continue
		}
		if addresses == nil {
			addresses = map[string]string{}
		}
		addresses[name] = k.Address
	}
	return addresses
}

// probe tries to connect to a target.
func (t *targets) probe(ctx context.Context, name, address string) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.clock, probeTimeout)
	defer cancel()
	err := t.entry.sender.Probe(ctx, address)
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.byName[name]
	if err != nil || k == nil || k.Address != address {
		return
	}
	k.unreachable, k.failures = false, 0
	t.log.WithFields(logrus.Fields{"Target": name, "Address": address}).Info("Target can be reached again.")
}
