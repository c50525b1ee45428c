package scarcity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an order that holds only for the sizes at which it was measured: with hosts
// that have a request in five seconds of a service, or 60 in one, and with queues that fill
// many times within the age of a digest.
func TestPlainReplay_HoldsForOtherSizes(t *testing.T) {
	for _, size := range []struct {
		hosts     int
		perSecond float64
		work      time.Duration
	}{
		{295, 60, 330 * time.Millisecond},
		{295, 190, 110 * time.Millisecond},
		{15, 190, 110 * time.Millisecond},
		{15, 1000, 20 * time.Millisecond},
		{295, 1000, 20 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d hosts, %.0f per second", size.hosts, size.perSecond), func(t *testing.T) {
			config := plainLoad(size.work)
			config.hosts, config.perSecond = size.hosts, size.perSecond
			r := runReplay(config)
			config.throttled = true
			throttled := runReplay(config)
			t.Logf("served %.3f (throttle %.3f), in time %.3f (%.3f), refused with free places %d of %d (%d of %d), rejected %d (%d), ranks %.3f %.3f %.3f",
				r.total.share(), throttled.total.share(), float64(r.total.inTime)/float64(r.total.all), float64(throttled.total.inTime)/float64(throttled.total.all),
				r.needlessly, r.refusals, throttled.needlessly, throttled.refusals, r.rejected, throttled.rejected,
				r.byRank[0].share(), r.byRank[-1].share(), r.byRank[-2].share())
			require.Greater(t, r.total.share(), throttled.total.share()-0.01)
			require.Greater(t, r.total.inTime, throttled.total.inTime)
			require.LessOrEqual(t, r.needlessly, max(throttled.needlessly/4, r.refusals/200))
			require.Greater(t, r.byRank[0].share(), r.byRank[-1].share()-0.05)
			require.Greater(t, r.byRank[-1].share(), r.byRank[-2].share()-0.05)
			for name, o := range r.byWorkspace {
				require.Greater(t, o.share(), 0.25*r.total.share(), "%s starves", name)
			}
		})
	}
}
