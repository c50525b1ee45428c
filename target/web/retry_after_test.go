package web

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/target"
)

func TestParseRetryAfter_InvalidValuesAreIgnoredWithAReason(t *testing.T) {
	for name, test := range map[string]struct {
		values  []string
		pause   time.Duration
		problem string
	}{
		"none":           {nil, 0, ""},
		"whole seconds":  {[]string{"3"}, 3 * time.Second, ""},
		"fraction":       {[]string{" 1.25 "}, 1250 * time.Millisecond, ""},
		"zero":           {[]string{"0"}, 0, ""},
		"empty":          {[]string{""}, 0, "not a number"},
		"negative":       {[]string{"-4"}, 0, "not a number"},
		"date":           {[]string{"Fri, 04 Dec 2026 12:00:00 GMT"}, 0, "not a number"},
		"not a number":   {[]string{"NaN"}, 0, "not a number"},
		"infinite":       {[]string{"Inf"}, 0, "not a number"},
		"exponent":       {[]string{"1e3"}, 0, "not a number"},
		"two points":     {[]string{"1.2.3"}, 0, "not a number"},
		"absurd":         {[]string{"86400"}, maxRetryAfter, "more than"},
		"out of range":   {[]string{strings.Repeat("9", 400)}, maxRetryAfter, "more than"},
		"doubled":        {[]string{"1", "4"}, 4 * time.Second, "2 values"},
		"doubled, wrong": {[]string{"soon", "2"}, 2 * time.Second, "2 values"},
	} {
		t.Run(name, func(t *testing.T) {
			pause, problem := parseRetryAfter(test.values)
			require.Equal(t, test.pause, pause)
			if test.problem == "" {
				require.Empty(t, problem)
			} else {
				require.Contains(t, problem, test.problem)
			}
		})
	}
}

// Only a refusal asks for a pause: a redirect or a success with the header doesn't.
func TestSetRetryAfter_OnlyOfRefusals(t *testing.T) {
	for status, pause := range map[int]time.Duration{200: 0, 301: 0, 500: 0, 429: 2 * time.Second, 503: 2 * time.Second} {
		header := &fasthttp.ResponseHeader{}
		header.Set(fasthttp.HeaderRetryAfter, "2")
		response := target.ResponseHeader{Status: status}
		SetRetryAfter(&response, header)
		require.Equal(t, pause, response.RetryAfter, status)
	}
}
