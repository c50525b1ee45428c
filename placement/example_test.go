package placement_test

import (
	"fmt"
	"time"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/placement"
	"comfreytiller.dev/target"
)

func Example() {
	config, err := fleet.Parse([]byte(`{
		"Name": "Office", "FailureDomains": ["East"],
		"Services": [{
			"Name": "Reviews", "Kind": "Model", "Model": "tilia", "Version": "7",
			"Calls": [{"Name": "Ask", "Idempotent": true}],
			"Placement": {"Min": 1, "Max": 1, "Spread": 1},
		}],
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	planner := placement.New()
	planner.Configure(now, config, nil, nil, nil)
	planner.BecomeLeader(now, 12, nil)
	// A new leader sends nothing until its predecessor's lease has expired.
	for range 60 {
		now = now.Add(time.Second)
		planner.Observe(now, []placement.TargetState{{
			Name: "engine-1", Incarnation: 1, FailureDomain: "East", Kind: target.KindModel, Ready: true,
		}})
		for _, effect := range planner.Step(now, now.Add(time.Second)) {
			switch e := effect.(type) {
			case placement.RecordOrder:
				planner.OrderRecorded(now, e.Order.ID, 13)
			case placement.SendOrder:
				fmt.Println(e.Order.Kind, e.Order.Model, "on", e.Order.Target, "fence", e.Order.Fence)
				return
			}
		}
	}
	// Output: LoadModel tilia on engine-1 fence 13
}
