package intake

import "time"

// Phase is what a connection is doing.
type Phase int

const (
	// Waiting connections have no request.
	Waiting Phase = iota
	// Head is the phase in which the head of a request is received.
	Head
	// Body is the phase in which its body is received.
	Body
	// Serving requests have arrived whole.
	Serving
)

// stallTime is how long a client must have taken nothing of a response before its
// connection may be closed for want of memory.
const stallTime = time.Second

// claim is what one connection holds of a budget.
type claim struct {
	phase Phase
	bytes int
	// age is the time since the connection began to wait, or its request to arrive.
	age time.Duration
	// stalled is the time since the client last took a part of its response; 0 if nothing
	// is being written.
	stalled time.Duration
}

// weight orders the claims that may be shed when memory is short, the heaviest first; 0 keeps
// the claim. It answers crowds of clients that send large requests and stop short of the end,
// and of clients that don't read: a request that has arrived whole is never shed while its
// response is prepared or taken, and of the others, large and slow ones go before small and
// fresh ones.
func weight(c claim) float64 {
	age := c.age
	if c.phase == Serving {
		if c.stalled < stallTime {
			return 0
		}
		age = c.stalled
	}
	return float64(c.bytes) * (1 + age.Seconds())
}
