package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// table is a result that is printed as aligned columns.
type table struct {
	header []string
	rows   [][]string
}

// row appends a row.
func (t *table) row(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = cell(c)
	}
	t.rows = append(t.rows, row)
}

// cell formats one cell. An empty value becomes a dash, so that the
// columns stay distinguishable.
func cell(c any) string {
	switch v := c.(type) {
	case time.Time:
		if v.IsZero() {
			return "-"
		}
		return v.UTC().Format(time.RFC3339)
	case bool:
		if v {
			return "yes"
		}
		return "no"
	}
	if s := fmt.Sprint(c); s != "" {
		return s
	}
	return "-"
}

// checkOutput returns an error for an unknown output format.
func (a *App) checkOutput() error {
	if a.flags.output == outputTable || a.flags.output == outputJSON {
		return nil
	}
	return fail(ExitUsage, trace.BadParameter("unknown output format %q", a.flags.output), "Use -o table or -o json.")
}

// show writes a result: the value as JSON for programs, the table for people.
func (a *App) show(value any, t table) error {
	if a.flags.output == outputJSON {
		return a.showJSON(value)
	}
	w := tabwriter.NewWriter(a.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, r := range t.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return trace.Wrap(w.Flush())
}

// showJSON writes a value as indented JSON.
func (a *App) showJSON(value any) error {
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(value))
}

// age formats an age in milliseconds.
func age(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}
