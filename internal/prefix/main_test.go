package prefix

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run checks the same prompts, and keeps
// rapid from writing a file for each failure.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
