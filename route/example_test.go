package route_test

import (
	"fmt"

	"comfreytiller.dev/route"
)

func Example() {
	candidates := []route.Candidate{
		{Key: 1, InFlight: 4, Limit: 8},
		{Key: 2, InFlight: 1, Limit: 8},
		{Key: 3, InFlight: 0, Limit: 8, Closed: route.DomainOut},
	}
	// The chat is warm on the first target, which is at the bound.
	query := route.Query{
		Chat:  17,
		Known: [2]int{0, route.None},
		Bound: 4,
		First: 2,
	}
	choice := route.Choose(&query, candidates)
	fmt.Println(choice.Target, choice.Known)
	fmt.Println(choice.Refused[0].Target, choice.Refused[0].Reason)
	// Output:
	// 1 false
	// 0 AtBound
}
