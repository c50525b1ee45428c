package registry

import (
	"time"

	"comfreytiller.dev/registry/registrypb"
)

func rolloutCommandToWire(command Command) *registrypb.Command {
	switch c := command.(type) {
	case StartRollout:
		return &registrypb.Command{Kind: &registrypb.Command_StartRollout{StartRollout: &registrypb.StartRollout{
			Service: c.Service, Version: c.Version, Duration: int64(c.Duration), Share: c.Share, Base: c.BaseNumber,
		}}}
	case StepRollout:
		return &registrypb.Command{Kind: &registrypb.Command_StepRollout{StepRollout: &registrypb.StepRollout{
			Service: c.Service, Number: c.Number, Base: c.BaseStep, State: string(c.State), Share: c.Share, Elapsed: int64(c.Elapsed),
			Counts: rolloutCountsToWire(c.Counts), PromptShare: c.PromptShare,
		}}}
	}
	return &registrypb.Command{}
}

// rolloutCommandFromWire returns nil if the message is not a command of a rollout.
func rolloutCommandFromWire(wire *registrypb.Command) Command {
	switch kind := wire.GetKind().(type) {
	case *registrypb.Command_StartRollout:
		c := kind.StartRollout
		return StartRollout{c.GetService(), c.GetVersion(), time.Duration(c.GetDuration()), c.GetShare(), c.GetBase()}
	case *registrypb.Command_StepRollout:
		c := kind.StepRollout
		return StepRollout{
			Service: c.GetService(), Number: c.GetNumber(), BaseStep: c.GetBase(), State: RolloutState(c.GetState()), Share: c.GetShare(),
			Elapsed: time.Duration(c.GetElapsed()), Counts: rolloutCountsFromWire(c.GetCounts()), PromptShare: c.GetPromptShare(),
		}
	}
	return nil
}

func rolloutCountsToWire(counts RolloutCounts) *registrypb.RolloutCounts {
	if counts == (RolloutCounts{}) {
		return nil
	}
	return &registrypb.RolloutCounts{
		Requests: counts.Requests, Exposed: counts.Exposed, Responses: counts.Responses, Failures: counts.Failures,
	}
}

func rolloutCountsFromWire(wire *registrypb.RolloutCounts) RolloutCounts {
	return RolloutCounts{
		Requests: wire.GetRequests(), Exposed: wire.GetExposed(), Responses: wire.GetResponses(), Failures: wire.GetFailures(),
	}
}

// rolloutsToWire returns nil without rollouts, so that a state without them is encoded as an
// earlier release encodes it.
func rolloutsToWire(rollouts map[string]Rollout) []*registrypb.Rollout {
	var wire []*registrypb.Rollout
	for _, service := range sortedKeys(rollouts) {
		r := rollouts[service]
		wire = append(wire, &registrypb.Rollout{
			Service: service, Number: r.Number, Step: r.Step, Version: r.Version, Duration: int64(r.Duration), State: string(r.State),
			Share: r.Share, Elapsed: int64(r.Elapsed), Counts: rolloutCountsToWire(r.Counts), Reverted: r.Reverted, PromptShare: r.PromptShare,
		})
	}
	return wire
}

func rolloutFromWire(wire *registrypb.Rollout) Rollout {
	return Rollout{
		Number: wire.GetNumber(), Step: wire.GetStep(), Version: wire.GetVersion(), Duration: time.Duration(wire.GetDuration()),
		State: RolloutState(wire.GetState()), Share: wire.GetShare(), Elapsed: time.Duration(wire.GetElapsed()),
		Counts: rolloutCountsFromWire(wire.GetCounts()), Reverted: wire.GetReverted(), PromptShare: wire.GetPromptShare(),
	}
}

func rolloutsFromWire(wire []*registrypb.Rollout) map[string]Rollout {
	rollouts := make(map[string]Rollout, len(wire))
	for _, rollout := range wire {
		rollouts[rollout.GetService()] = rolloutFromWire(rollout)
	}
	return rollouts
}
