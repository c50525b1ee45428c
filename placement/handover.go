package placement

import "time"

// HandoverLimits bound the KV cache that is moved off leaving targets.
type HandoverLimits struct{}

type handover struct {
	limits HandoverLimits
}

func newHandover() handover {
	return handover{}
}

func (p *Planner) planHandover(time.Time) {}

func (p *Planner) progressCache(time.Time, *pending, *engine) {}
