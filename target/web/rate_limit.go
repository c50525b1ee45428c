package web

import (
	"fmt"
	"strings"

	"comfreytiller.dev/target"
)

// maxRateLimit bounds the rate limit that a target may name, in requests per second. No
// target takes more.
const maxRateLimit = 1e6

// SetRateLimit sets TellsRateLimit, RateLimit and RateLimitProblem from the values of the
// header field in which a target names the requests per second that it takes from all
// hosts together. Without the field it has no limit; with an unreadable value nothing is
// known.
func SetRateLimit(response *target.ResponseHeader, values []string) {
	response.RateLimit, response.RateLimitProblem = parseRateLimit(values)
	response.TellsRateLimit = response.RateLimit != nil || len(values) == 0
}

// parseRateLimit returns the lowest of the given limits, bounded by maxRateLimit; nil if
// there is none. Values that are no decimal numbers are ignored.
func parseRateLimit(values []string) (limit *float64, problem string) {
	var problems []string
	if len(values) > 1 {
		problems = append(problems, fmt.Sprintf("%d values, the lowest one is used", len(values)))
	}
	for _, value := range values {
		number, ok := parseDecimal(strings.TrimSpace(value))
		if !ok {
			problems = append(problems, fmt.Sprintf("%.40q is not a number of requests per second", value))
			continue
		}
		if number > maxRateLimit {
			problems = append(problems, fmt.Sprintf("%.40q is more than %v", value, float64(maxRateLimit)))
			number = maxRateLimit
		}
		if limit == nil || number < *limit {
			limit = &number
		}
	}
	return limit, strings.Join(problems, "; ")
}
