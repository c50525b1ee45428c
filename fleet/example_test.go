package fleet_test

import (
	"fmt"

	"comfreytiller.dev/fleet"
)

func Example() {
	before, err := fleet.Parse([]byte(`{
		"Name": "Office", "FailureDomains": ["East"],
		"Services": [{"Name": "Treasury", "Kind": "Plain", "Calls": [{"Name": "ReleasePayment"}]}],
		"Workspaces": [{"Name": "Students", "Share": 1}],
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	after := *before
	after.Workspaces = []fleet.Workspace{{Name: "Students", Share: 3}}
	for _, change := range fleet.Diff(before, &after) {
		fmt.Println(change)
	}
	// Output: ~ Workspace Students: Share: 1 -> 3
}

func ExampleParse_faults() {
	_, err := fleet.Parse([]byte(`{"Name": "Office", "FailureDomains": ["East"], "Services": [], "Workspace": []}`))
	fmt.Println(err != nil)
	// Output: true
}
