package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"github.com/go-faster/errors"
)

// fakeAdmitter gives permits for the first target that is not excluded.
type fakeAdmitter struct {
	mu       sync.Mutex
	targets  []admission.Permit
	granted  int
	released []admission.Release
	refusal  *admission.Refusal
	onGrant  func()
	wait     bool
}

func (f *fakeAdmitter) Acquire(ctx context.Context, r admission.Request) (admission.Permit, error) {
	if f.wait {
		<-ctx.Done()
		return admission.Permit{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusal != nil {
		return admission.Permit{}, f.refusal
	}
	for _, permit := range f.targets {
		if slices.Contains(r.Exclude, permit.Target) {
			continue
		}
		permit.RequestID = r.ID
		f.granted++
		if f.onGrant != nil {
			f.onGrant()
		}
		return permit, nil
	}
	return admission.Permit{}, &admission.Refusal{RequestID: r.ID, Code: admission.RefusedNoTarget, RetryAfter: 2 * time.Second}
}

func (f *fakeAdmitter) Release(release admission.Release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, release)
}

func (f *fakeAdmitter) grants() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.granted
}

// outcomes returns how the permits ended.
func (f *fakeAdmitter) outcomes() []admission.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []admission.Outcome
	for _, release := range f.released {
		all = append(all, release.Outcome)
	}
	return all
}

type fakeCatalog struct {
	fleet       *fleet.Fleet
	unavailable atomic.Bool
	// none hides the fleet from connections that are being accepted, too.
	none atomic.Bool
}

func (f *fakeCatalog) Fleet() *fleet.Fleet {
	if f.none.Load() {
		return nil
	}
	return f.fleet
}

func (f *fakeCatalog) Available(string) bool { return !f.unavailable.Load() }

var errLeaseOver = errors.New("the session lease has ended")

type fakeAuthority struct{ over atomic.Bool }

func (f *fakeAuthority) Check() error {
	if f.over.Load() {
		return errLeaseOver
	}
	return nil
}

// fakeClaims keeps claims in memory.
type fakeClaims struct {
	mu         sync.Mutex
	claims     map[ClaimKey]Claim
	failFinish bool
	failOpen   bool
	// blockFinish keeps Finish waiting until it is closed; nil for not at all.
	blockFinish chan struct{}
	steps       []string
}

var errQuorum = errors.New("no quorum")

func (f *fakeClaims) Open(_ context.Context, key ClaimKey, fingerprint uint64, _ time.Time) (Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps = append(f.steps, "Open")
	if f.failOpen {
		return Claim{}, errQuorum
	}
	if claim, ok := f.claims[key]; ok {
		switch {
		case claim.Fingerprint != fingerprint:
			claim.State = ClaimConflict
		case claim.State == ClaimOpen:
			claim.State = ClaimRunning
		}
		return claim, nil
	}
	claim := Claim{ClaimKey: key, State: ClaimOpen, Fingerprint: fingerprint}
	f.claims[key] = claim
	return claim, nil
}

func (f *fakeClaims) change(key ClaimKey, step string, state ClaimState, answer StoredResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps = append(f.steps, step)
	claim := f.claims[key]
	claim.State, claim.Response = state, answer
	f.claims[key] = claim
}

func (f *fakeClaims) Finish(_ context.Context, key ClaimKey, answer StoredResponse) error {
	if f.blockFinish != nil {
		<-f.blockFinish
	}
	if f.failFinish {
		return errQuorum
	}
	answer.Body = slices.Clone(answer.Body)
	f.change(key, "Finish", ClaimDone, answer)
	return nil
}

func (f *fakeClaims) Cancel(_ context.Context, key ClaimKey) error {
	f.change(key, "Cancel", ClaimCancelled, StoredResponse{})
	return nil
}

func (f *fakeClaims) MarkInDoubt(_ context.Context, key ClaimKey) error {
	f.change(key, "Doubt", ClaimInDoubt, StoredResponse{})
	return nil
}

func (f *fakeClaims) history() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.steps)
}
