package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// page is a Markdown file with tables between markers.
type page struct {
	path   string
	commit string
}

// markers return the lines that enclose a table.
func markers(name string) (begin, end string) {
	return fmt.Sprintf("<!-- measured:%s -->", name), fmt.Sprintf("<!-- /measured:%s -->", name)
}

// replace replaces the text between a table's markers by the table and the commit
// at which it was measured. Without a page it prints the table.
func (p *page) replace(name, table string) error {
	text := fmt.Sprintf("Measured at commit `%s`.\n\n%s", p.commit, table)
	if p.path == "" {
		fmt.Printf("%s\n%s\n", name, text)
		return nil
	}
	src, err := os.ReadFile(p.path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	out, err := replaceBetween(string(src), name, text)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(p.path, []byte(out), 0o644))
}

// replaceBetween replaces the text between the markers of a table.
func replaceBetween(src, name, text string) (string, error) {
	begin, end := markers(name)
	before, rest, ok := strings.Cut(src, begin)
	_, after, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		return "", trace.NotFound("the page has no markers for %q", name)
	}
	return before + begin + "\n" + strings.TrimRight(text, "\n") + "\n" + end + after, nil
}

// table renders rows in Markdown.
func table(head []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(head)
	line(strings.Split(strings.Repeat("---,", len(head)-1)+"---", ","))
	for _, r := range rows {
		line(r)
	}
	return b.String()
}
