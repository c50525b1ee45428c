package web

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseRateLimit_InvalidValuesAreIgnoredWithAReason(t *testing.T) {
	limit := func(number float64) *float64 { return &number }
	for name, test := range map[string]struct {
		values  []string
		limit   *float64
		problem string
	}{
		"none":           {nil, nil, ""},
		"whole":          {[]string{"12"}, limit(12), ""},
		"fraction":       {[]string{" 4.25 "}, limit(4.25), ""},
		"far below one":  {[]string{"0.02"}, limit(0.02), ""},
		"zero":           {[]string{"0"}, limit(0), ""},
		"empty":          {[]string{""}, nil, "not a number"},
		"negative":       {[]string{"-4"}, nil, "not a number"},
		"not a number":   {[]string{"NaN"}, nil, "not a number"},
		"infinite":       {[]string{"Inf"}, nil, "not a number"},
		"exponent":       {[]string{"1e3"}, nil, "not a number"},
		"comma":          {[]string{"1,5"}, nil, "not a number"},
		"absurd":         {[]string{"10000000"}, limit(maxRateLimit), "more than"},
		"out of range":   {[]string{strings.Repeat("9", 400)}, limit(maxRateLimit), "more than"},
		"doubled":        {[]string{"5", "4"}, limit(4), "2 values"},
		"doubled, wrong": {[]string{"soon", "2"}, limit(2), "2 values"},
	} {
		t.Run(name, func(t *testing.T) {
			parsed, problem := parseRateLimit(test.values)
			require.Equal(t, test.limit, parsed)
			if test.problem == "" {
				require.Empty(t, problem)
			} else {
				require.Contains(t, problem, test.problem)
			}
		})
	}
}
