package route

const (
	// usableMemory is the part of an engine's memory that requests are sent for. The rest
	// is for what other hosts send before this host learns of it.
	usableMemory = 0.9
	// outputInMemory is the part of a response that is in memory on average while its
	// request runs.
	outputInMemory = 0.5
	// promptSpread is how many times its share of the shared prompts an engine may hold,
	// since their homes are not spread evenly and hot prompts have several holders.
	promptSpread = 2
)

// PromptSizes are the sizes of the prompts of a service, in tokens.
type PromptSizes struct {
	// Private is the mean number of tokens that a prompt shares with no other, Output the
	// mean of the longest responses, Shared the mean number of shared tokens.
	Private float64
	Output  float64
	Shared  float64
	// Prompts is the number of shared prompts in use.
	Prompts int
}

// EngineRoom tells whether engines of a service have memory for a request.
//
// It is designed for engines that preempt the newest requests when the tokens of their
// prompts and responses exceed the memory, and that crash if even one does not fit. Hosts
// know only the number of requests of other hosts on an engine, so what they hold follows
// from the mean sizes. Shared parts count once for each prompt, not for each request.
type EngineRoom struct {
	// Capacity is the memory of an engine in tokens; 0 for unknown.
	Capacity int
	// Engines is the number of engines.
	Engines int
	Sizes   PromptSizes
}

// HeldTokens returns the estimated number of tokens in the memory of an engine with the
// given number of requests in flight; 0 for unknown.
func (r *EngineRoom) HeldTokens(inFlight float64) float64 {
	if r.Capacity == 0 {
		return 0
	}
	prompts := min(inFlight, promptSpread*float64(r.Sizes.Prompts)/float64(max(r.Engines, 1))+1)
	return max(inFlight, 0)*(r.Sizes.Private+outputInMemory*r.Sizes.Output) + max(prompts, 0)*r.Sizes.Shared
}

// Lacks reports whether an engine with the given number of requests in flight lacks memory
// for another one, which adds the given number of tokens.
func (r *EngineRoom) Lacks(inFlight float64, tokens int) bool {
	return r.Capacity > 0 && r.HeldTokens(inFlight)+float64(tokens) > usableMemory*float64(r.Capacity)
}
