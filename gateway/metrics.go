package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// firstByteBuckets are the buckets of the histogram of first-byte latencies.
var firstByteBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// metrics holds the metrics of a gateway.
type metrics struct {
	scope          tally.Scope
	answered       tally.Counter
	warm           tally.Counter
	cold           tally.Counter
	retries        tally.Counter
	resumedStreams tally.Counter
	repeatedEvents tally.Counter
	attempts       tally.Counter
	inFlight       tally.Gauge
	firstByte      tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	outcome := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": name}).Counter("requests")
	}
	context := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"context": name}).Counter("chats")
	}
	return &metrics{
		scope: scope, answered: outcome("Answered"),
		warm: context("Warm"), cold: context("Cold"),
		retries: scope.Counter("retries"), resumedStreams: scope.Counter("resumed_streams"),
		repeatedEvents: scope.Counter("repeated_events"), attempts: scope.Counter("attempts"),
		inFlight: scope.Gauge("in_flight"), firstByte: scope.Histogram("first_byte", firstByteBuckets),
	}
}

// countFailure counts a failed request by its code.
func (m *metrics) countFailure(f *Failure) {
	m.scope.Tagged(map[string]string{"outcome": string(f.Code)}).Counter("requests").Inc(1)
}

// countChat counts a response in a chat by whether the prefix cache was warm.
func (m *metrics) countChat(warm bool) {
	if warm {
		m.warm.Inc(1)
		return
	}
	m.cold.Inc(1)
}
