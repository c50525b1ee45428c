package integration

import (
	"testing"
)

func TestSteadyLoadOverSixHosts(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.up, 8, 4)
	l.served(200)
	l.paidMore(50)
	l.finish(s.treasuries...)
	s.checkCold()
	if l.broken.Load() > 0 || l.refused.Load() > 0 || l.unknown.Load() > 0 {
		t.Errorf("without a failure: %d broken, %d refused, %d unknown", l.broken.Load(), l.refused.Load(), l.unknown.Load())
	}
}
