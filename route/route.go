// Package route chooses the target of a service for one request.
//
// The order of preference is: the targets where the chat's context is expected to be
// warm, then the others by rendezvous hashing of the chat's key, taking the least
// loaded of the first few. A candidate that may not take the request is skipped with
// a reason.
//
// # Usage
//
//	choice := route.Choose(&route.Query{Chat: key, WarmTargets: [2]int{3, route.None}, Bound: 12, Choices: 2}, candidates)
//	if choice.Target == route.None {
//		// no candidate can take the request
//	}
package route
