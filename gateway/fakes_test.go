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

// fakeAdmitter grants permits for the first target that is not excluded.
type fakeAdmitter struct {
	mu           sync.Mutex
	permits      []admission.Permit
	granted      int
	released     []admission.Release
	refusal      *admission.Refusal
	onGrant      func()
	blockAcquire bool
}

func (f *fakeAdmitter) Acquire(ctx context.Context, r admission.Request) (admission.Permit, error) {
	if f.blockAcquire {
		<-ctx.Done()
		return admission.Permit{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusal != nil {
		return admission.Permit{}, f.refusal
	}
	for _, permit := range f.permits {
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

// outcomes returns the outcomes of the released permits.
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
	// noFleet makes Fleet return nil. It is atomic because connections that are
	// being accepted also call Fleet.
	noFleet atomic.Bool
	// changed replaces fleet once it is set.
	changed atomic.Pointer[fleet.Fleet]
}

func (f *fakeCatalog) Fleet() *fleet.Fleet {
	if f.noFleet.Load() {
		return nil
	}
	if changed := f.changed.Load(); changed != nil {
		return changed
	}
	return f.fleet
}

func (f *fakeCatalog) Available(string) bool { return !f.unavailable.Load() }

var errLeaseExpired = errors.New("the session lease has ended")

type fakeAuthority struct{ leaseExpired atomic.Bool }

func (f *fakeAuthority) Check() error {
	if f.leaseExpired.Load() {
		return errLeaseExpired
	}
	return nil
}

// fakeClaims keeps claims in memory.
type fakeClaims struct {
	mu         sync.Mutex
	claims     map[ClaimKey]Claim
	failFinish bool
	failOpen   bool
	// blockFinish blocks Finish until it is closed; nil for no blocking.
	blockFinish chan struct{}
	calls       []string
}

var errQuorum = errors.New("no quorum")

func (f *fakeClaims) Open(_ context.Context, key ClaimKey, fingerprint uint64, _ time.Time) (Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, "Open")
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

func (f *fakeClaims) setState(key ClaimKey, call string, state ClaimState, response StoredResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	claim := f.claims[key]
	claim.State, claim.Response = state, response
	f.claims[key] = claim
}

func (f *fakeClaims) Finish(_ context.Context, key ClaimKey, response StoredResponse) error {
	if f.blockFinish != nil {
		<-f.blockFinish
	}
	if f.failFinish {
		return errQuorum
	}
	response.Body = slices.Clone(response.Body)
	f.setState(key, "Finish", ClaimDone, response)
	return nil
}

func (f *fakeClaims) Cancel(_ context.Context, key ClaimKey) error {
	f.setState(key, "Cancel", ClaimCancelled, StoredResponse{})
	return nil
}

func (f *fakeClaims) MarkInDoubt(_ context.Context, key ClaimKey) error {
	f.setState(key, "Doubt", ClaimInDoubt, StoredResponse{})
	return nil
}

func (f *fakeClaims) recordedCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}
