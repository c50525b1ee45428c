package peer

import (
	"time"

	"comfreytiller.dev/peer/peerpb"
	"comfreytiller.dev/target/ratelimit"
)

// rateLimitToWire returns nil for a limit of which nothing is known.
func rateLimitToWire(limit ratelimit.Limit, now time.Time) *peerpb.RateLimit {
	if limit.SaidAt.IsZero() {
		return nil
	}
	return &peerpb.RateLimit{Limited: limit.IsLimited, PerSecond: limit.PerSecond, Age: int64(now.Sub(limit.SaidAt))}
}

func rateLimitFromWire(wire *peerpb.RateLimit, now time.Time) ratelimit.Limit {
	if wire == nil {
		return ratelimit.Limit{}
	}
	return ratelimit.Limit{IsLimited: wire.Limited, PerSecond: wire.PerSecond, SaidAt: now.Add(-time.Duration(wire.Age))}
}

func rateLimitReportsToWire(reports []ratelimit.Report, now time.Time) []*peerpb.TargetRateLimit {
	var wire []*peerpb.TargetRateLimit
	for _, report := range reports {
		wire = append(wire, &peerpb.TargetRateLimit{Target: report.Target, Incarnation: report.Incarnation, Limit: rateLimitToWire(report.Limit, now)})
	}
	return wire
}

func rateLimitReportsFromWire(wire []*peerpb.TargetRateLimit, now time.Time) []ratelimit.Report {
	var reports []ratelimit.Report
	for _, w := range wire {
		reports = append(reports, ratelimit.Report{Target: w.Target, Incarnation: w.Incarnation, Limit: rateLimitFromWire(w.Limit, now)})
	}
	return reports
}
