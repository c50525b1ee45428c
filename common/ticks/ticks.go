// Package ticks runs periodic tasks.
//
// # Usage
//
//	ticks.Every(ctx, clock, time.Second, func(ctx context.Context) { ... })
package ticks

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls run at each interval until ctx is done. Calls never overlap: a call
// that takes longer than the interval delays the next one.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, run func(context.Context)) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			run(ctx)
		}
	}
}
