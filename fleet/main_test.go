package fleet

import (
	"flag"
	"os"
	"testing"
)

// TestMain pins the seed of the property tests, so that every run reaches the
// same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
