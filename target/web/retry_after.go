package web

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"comfreytiller.dev/target"
)

// maxRetryAfter bounds the pause that a target may ask for.
const maxRetryAfter = 2 * time.Minute

// SetRetryAfter sets RetryAfter and RetryAfterProblem from the response header. Only a
// refusal asks for a pause: a response with status 503 or 429.
func SetRetryAfter(response *target.ResponseHeader, header *fasthttp.ResponseHeader) {
	if response.Status != fasthttp.StatusServiceUnavailable && response.Status != fasthttp.StatusTooManyRequests {
		return
	}
	var values []string
	for _, value := range header.PeekAll(fasthttp.HeaderRetryAfter) {
		values = append(values, string(value))
	}
	response.RetryAfter, response.RetryAfterProblem = parseRetryAfter(values)
}

// parseRetryAfter returns the longest of the given pauses in seconds, which may have
// fractions, bounded by maxRetryAfter. Other values, such as dates, are ignored, since
// the clocks of hosts and targets may differ.
func parseRetryAfter(values []string) (pause time.Duration, problem string) {
	var problems []string
	if len(values) > 1 {
		problems = append(problems, fmt.Sprintf("%d values, the longest one is used", len(values)))
	}
	for _, value := range values {
		seconds, ok := parseDecimal(strings.TrimSpace(value))
		if !ok {
			problems = append(problems, fmt.Sprintf("%.40q is not a number of seconds", value))
			continue
		}
		if seconds > maxRetryAfter.Seconds() {
			problems = append(problems, fmt.Sprintf("%.40q is more than %v", value, maxRetryAfter))
			seconds = maxRetryAfter.Seconds()
		}
		pause = max(pause, time.Duration(seconds*float64(time.Second)))
	}
	return pause, strings.Join(problems, "; ")
}

// parseDecimal parses a decimal number without sign or exponent.
func parseDecimal(text string) (number float64, ok bool) {
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	// A number out of range is parsed as infinity, which the caller bounds.
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil || number > 0
}
