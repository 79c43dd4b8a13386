package config

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flags
)

// TestMain sets fixed defaults for the flags of the property tests, so that every
// run uses the same seed unless flags are given.
func TestMain(m *testing.M) {
	flag.Parse()
	pinned := map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.steps": "120", "rapid.nofailfile": "true"}
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range pinned {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
