package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomized tests, so that their result is
// reproducible. -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}
