package telemetry

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// row matches one row of the table in docs/EVENTS.md.
var row = regexp.MustCompile(`(?m)^\| (\d{4}) \| (.*?) \| (\d) \|`)

// TestCataloguePageMatchesTheCode checks that docs/EVENTS.md lists the same
// numbers, messages and verbosities as the code, and that no number is used twice.
func TestCataloguePageMatchesTheCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	var listed, defined []string
	for _, m := range row.FindAllSubmatch(page, -1) {
		listed = append(listed, fmt.Sprintf("%s %s %s", m[1], m[2], m[3]))
	}
	numbers := make(map[int]bool)
	for _, e := range Catalogue() {
		defined = append(defined, fmt.Sprintf("%d %s %d", e.ID, e.Message, e.Verbosity))
		if numbers[e.ID] {
			t.Errorf("got event %d twice, want unique numbers", e.ID)
		}
		numbers[e.ID] = true
	}
	if diff := cmp.Diff(listed, defined); diff != "" {
		t.Errorf("docs/EVENTS.md (-) and the code (+) differ:\n%s", diff)
	}
}
