package registry

import (
	"fmt"
	"slices"
	"time"
)

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout.
const (
	// RolloutServing: a share of the requests goes to the new version.
	RolloutServing RolloutState = "Serving"
	// RolloutComplete: all requests go to the new version.
	RolloutComplete RolloutState = "Complete"
	// RolloutReverted: no request goes to the new version any more.
	RolloutReverted RolloutState = "Reverted"
)

// Rollout is a move of the requests of a service to the targets of a new software version. A
// Rollout is immutable.
type Rollout struct {
	// Number is the sequence number of the log entry that began the rollout, Step the number
	// of changes since.
	Number  uint64
	Step    uint64
	Version string
	// Duration is the time from the order to the deadline.
	Duration time.Duration
	State    RolloutState
	// Share is the largest share of the requests that the version may get, from 0 to 1. With
	// 1, the other versions get no requests while a target of the version is ready.
	Share float64
	// PromptShare is the share of the shared prompts whose requests may go to the version. It is
	// larger than Share if there are few prompts.
	PromptShare float64
	// Elapsed is the time since the order at the last step.
	Elapsed time.Duration
	Counts  RolloutCounts
	// Reverted are the versions that earlier rollouts of the service reverted, the oldest
	// first.
	Reverted []string
}

// RolloutCounts are what the hosts reported since the order until the last step.
type RolloutCounts struct {
	// Requests are those of the service, Exposed those of them that went to the new version.
	Requests uint64
	Exposed  uint64
	// Responses are those of the new version, Failures the bad ones among them.
	Responses uint64
	Failures  uint64
}

// Forbids reports whether the rollout or an earlier one reverted the version.
func (r *Rollout) Forbids(version string) bool {
	return r.State == RolloutReverted && version == r.Version || slices.Contains(r.Reverted, version)
}

func (s *state) startRollout(sequence uint64, command StartRollout) Result {
	last, exists := s.rollouts[command.Service]
	if exists && last.Version == command.Version {
		return Result{Code: CodeOK, Version: last.Number}
	}
	if result, ok := s.validateRollout(command, last, exists); !ok {
		return result
	}
	reverted := last.Reverted
	if last.State == RolloutReverted {
		reverted = append(slices.Clone(reverted), last.Version)
		reverted = reverted[max(len(reverted)-MaxRevertedVersions, 0):]
	}
	s.rollouts[command.Service] = Rollout{
		Number: sequence, Version: command.Version, Duration: command.Duration, State: RolloutServing, Share: command.Share, PromptShare: command.Share, Reverted: reverted,
	}
	s.changed.rollouts = true
	return Result{Code: CodeOK, Version: sequence}
}

// validateRollout checks an order for another version than that of the last rollout.
func (s *state) validateRollout(command StartRollout, last Rollout, exists bool) (Result, bool) {
	switch {
	case command.Version == "" || len(command.Version) > MaxVersionBytes:
		return reject(CodeMalformed, fmt.Sprintf("a version needs 1 to %d bytes", MaxVersionBytes)), false
	case command.Duration <= 0 || command.Duration > MaxRolloutDuration:
		return reject(CodeMalformed, "a rollout needs a positive duration of at most "+MaxRolloutDuration.String()), false
	case !(command.Share >= 0 && command.Share <= 1):
		return reject(CodeMalformed, "a share is between 0 and 1"), false
	case !s.hasService(command.Service):
		return reject(CodeUnknown, fmt.Sprintf("there is no service %.128q", command.Service)), false
	case command.BaseNumber != last.Number:
		detail := fmt.Sprintf("made after rollout %d, the last one is %d", command.BaseNumber, last.Number)
		return Result{Code: CodeConflict, Detail: detail, Version: last.Number}, false
	case last.State == RolloutServing:
		return reject(CodeRefused, fmt.Sprintf("a rollout to version %q is in progress", last.Version)), false
	case exists && last.Forbids(command.Version):
		return reject(CodeRefused, fmt.Sprintf("version %q was reverted before", command.Version)), false
	case !exists && len(s.rollouts) >= MaxRollouts:
		return reject(CodeFull, "too many services had a rollout"), false
	}
	return Result{}, true
}

func (s *state) hasService(name string) bool {
	if s.fleet == nil {
		return false
	}
	_, known := s.fleet.Service(name)
	return known
}

// stepRollout has no effect on a rollout that is not at the step on which the command is based.
func (s *state) stepRollout(command StepRollout) Result {
	current, exists := s.rollouts[command.Service]
	if !exists || current.Number != command.Number || current.Step != command.BaseStep || current.State != RolloutServing {
		detail := fmt.Sprintf("made at step %d of rollout %d, current is step %d of %d", command.BaseStep, command.Number, current.Step, current.Number)
		return Result{Code: CodeConflict, Detail: detail, Version: current.Step}
	}
	known := command.State == RolloutServing || command.State == RolloutComplete || command.State == RolloutReverted
	if !known || !(command.Share >= 0 && command.Share <= 1) || !(command.PromptShare >= 0 && command.PromptShare <= 1) {
		return reject(CodeMalformed, "a step needs a known state and a share between 0 and 1")
	}
	current.Step++
	current.State, current.Share, current.PromptShare = command.State, command.Share, command.PromptShare
	current.Elapsed = max(current.Elapsed, command.Elapsed)
	current.Counts = current.Counts.atLeast(command.Counts)
	s.rollouts[command.Service] = current
	s.changed.rollouts = true
	return Result{Code: CodeOK, Version: current.Step}
}

// atLeast returns the larger of each count.
func (c RolloutCounts) atLeast(other RolloutCounts) RolloutCounts {
	return RolloutCounts{
		Requests: max(c.Requests, other.Requests), Exposed: max(c.Exposed, other.Exposed),
		Responses: max(c.Responses, other.Responses), Failures: max(c.Failures, other.Failures),
	}
}

// changedRollouts returns the rollouts that are new or at another step; nil for none. A
// rollout is never removed.
func changedRollouts(from, to map[string]Rollout) map[string]Rollout {
	var changed map[string]Rollout
	for service, rollout := range to {
		if old, exists := from[service]; exists && old.Number == rollout.Number && old.Step == rollout.Step {
			continue
		}
		if changed == nil {
			changed = map[string]Rollout{}
		}
		changed[service] = rollout
	}
	return changed
}
