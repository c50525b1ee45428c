package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// firstByteBuckets are the bounds of the first-byte histogram.
var firstByteBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// meters are a gateway's metrics.
type meters struct {
	scope     tally.Scope
	answered  tally.Counter
	warm      tally.Counter
	cold      tally.Counter
	retries   tally.Counter
	resumed   tally.Counter
	repeated  tally.Counter
	attempts  tally.Counter
	inFlight  tally.Gauge
	firstByte tally.Histogram
}

func newMeters(scope tally.Scope) *meters {
	outcome := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": name}).Counter("requests")
	}
	context := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"context": name}).Counter("chats")
	}
	return &meters{
		scope: scope, answered: outcome("Answered"),
		warm: context("Warm"), cold: context("Cold"),
		retries: scope.Counter("retries"), resumed: scope.Counter("resumed_streams"),
		repeated: scope.Counter("repeated_events"), attempts: scope.Counter("attempts"),
		inFlight: scope.Gauge("in_flight"), firstByte: scope.Histogram("first_byte", firstByteBuckets),
	}
}

// failed counts a failure by its code.
func (m *meters) failed(f *Failure) {
	m.scope.Tagged(map[string]string{"outcome": string(f.Code)}).Counter("requests").Inc(1)
}

// reuse counts a chat's answer by whether its context was warm.
func (m *meters) reuse(warm bool) {
	if warm {
		m.warm.Inc(1)
		return
	}
	m.cold.Inc(1)
}
