// Package route chooses the target of a service for one request.
//
// Choose makes the decision at the owner of a service. The order of preference is: the
// targets where the chat's context is expected to be cached, then the others by
// rendezvous hashing of the chat's key, taking the least loaded of the first few. A
// candidate without capacity for the request is skipped with a reason.
//
// ChooseLocal makes the decision at an entry host without an owner, by the estimated
// cost of each target. A Throttle limits the requests to a plain service there.
//
// # Usage
//
//	choice := route.Choose(&route.Query{Chat: key, WarmTargets: [2]int{3, route.None}, Bound: 12, Choices: 2}, candidates)
//	if choice.Target == route.None {
//		// no candidate has capacity for the request
//	}
package route
