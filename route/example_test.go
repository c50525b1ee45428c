package route_test

import (
	"fmt"

	"comfreytiller.dev/route"
)

func Example() {
	candidates := []route.Candidate{
		{Key: 1, InFlight: 4, Limit: 8},
		{Key: 2, InFlight: 1, Limit: 8},
		{Key: 3, InFlight: 0, Limit: 8, Availability: route.DomainOut},
	}
	// The chat is warm on the first target, which is at the load bound.
	query := route.Query{
		Chat:        17,
		WarmTargets: [2]int{0, route.None},
		Bound:       4,
		Choices:     2,
	}
	choice := route.Choose(&query, candidates)
	fmt.Println(choice.Target, choice.Warm)
	fmt.Println(choice.Skipped[0].Target, choice.Skipped[0].Reason)
	// Output:
	// 1 false
	// 0 AtBound
}
