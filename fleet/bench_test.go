package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkParse reports the cost of parsing a new version on each host.
func BenchmarkParse(b *testing.B) {
	for _, workspaces := range []int{10, 8400} {
		b.Run(fmt.Sprintf("%d workspaces", workspaces), func(b *testing.B) {
			var list strings.Builder
			for i := range workspaces {
				fmt.Fprintf(&list, "\t\t// Workspace %d, contract %06d.\n\t\t{\"Name\": \"workspace-%d\", \"Share\": 3, \"Services\": [\"desk\"]},\n", i, i*7, i)
			}
			config := []byte(strings.Replace(smallConfig, `{"Name": "rabat", "Services": ["desk"]}`, "\n"+list.String(), 1))
			for b.Loop() {
				_, err := Parse(config)
				require.NoError(b, err)
			}
			b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/parse")
			b.ReportMetric(float64(len(config)), "bytes/text")
		})
	}
}
