package registry

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that every run has the
// same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
