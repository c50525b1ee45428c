package admission_test

import (
	"fmt"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
)

func Example() {
	text, err := fleet.Parse([]byte(`{
		"Name": "Office", "FailureDomains": ["East"],
		"Services": [{"Name": "Treasury", "Kind": "Plain", "Calls": [{"Name": "ReleasePayment"}]}],
		"Workspaces": [{"Name": "Desk", "Share": 1}],
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	service := admission.New(admission.Config{Service: text.Services[0], Workspaces: text.Workspaces}, 7)
	service.HandleAnnouncement(now, target.Announcement{
		Name: "treasury-1", Stamp: target.Stamp{Incarnation: 1, Sequence: 1},
		Address: "127.0.0.1:9000", FailureDomain: "East", Kind: target.KindPlain, Service: "Treasury",
	})
	// A new owner grants nothing until it has counted the permits of earlier owners.
	service.CompleteAdoption(now)
	service.Acquire(now, admission.Request{
		ID: "r-1", Host: "entry-1", Service: "Treasury", Workspace: "Desk", Deadline: now.Add(time.Second),
	})
	for _, effect := range service.TakeEffects() {
		fmt.Println(effect.Permit.Target, effect.Permit.Fence)
	}
	service.Release(now, admission.Release{
		RequestID: "r-1", Service: "Treasury", Target: "treasury-1", Outcome: admission.OutcomeDone,
	})
	fmt.Println(service.Status().InFlight)
	// Output:
	// treasury-1 7
	// 0
}
