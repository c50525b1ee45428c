package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// firstByteBuckets are the buckets of the histogram of first-byte latencies.
var firstByteBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// metrics holds the metrics of a gateway.
type metrics struct {
	scope           tally.Scope
	completed       tally.Counter
	warm            tally.Counter
	cold            tally.Counter
	retries         tally.Counter
	resumedStreams  tally.Counter
	duplicateEvents tally.Counter
	attempts        tally.Counter
	silentAttempts  tally.Counter
	awaitedAttempts tally.Counter
	inFlight        tally.Gauge
	firstByte       tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	requestCounter := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": name}).Counter("requests")
	}
	chatCounter := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"context": name}).Counter("chats")
	}
	return &metrics{
		scope: scope, completed: requestCounter("Answered"),
		warm: chatCounter("Warm"), cold: chatCounter("Cold"),
		retries: scope.Counter("retries"), resumedStreams: scope.Counter("resumed_streams"),
		duplicateEvents: scope.Counter("repeated_events"), attempts: scope.Counter("attempts"),
		silentAttempts: scope.Counter("silent_attempts"), awaitedAttempts: scope.Counter("awaited_attempts"),
		inFlight: scope.Gauge("in_flight"), firstByte: scope.Histogram("first_byte", firstByteBuckets),
	}
}

// countFailure counts a failed request by its code.
func (m *metrics) countFailure(f *Failure) {
	m.scope.Tagged(map[string]string{"outcome": string(f.Code)}).Counter("requests").Inc(1)
}

// countNotRetried counts a failed attempt after which the request did not go on
// elsewhere, by the obstacle.
func (m *metrics) countNotRetried(obstacle retryObstacle) {
	m.scope.Tagged(map[string]string{"reason": string(obstacle)}).Counter("not_retried").Inc(1)
}

// countChat counts a response in a chat by whether the prefix cache was warm.
func (m *metrics) countChat(warm bool) {
	if warm {
		m.warm.Inc(1)
		return
	}
	m.cold.Inc(1)
}
