package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/gravitational/trace"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"percent": percent}).Parse(pageText))

// page is what the template shows.
type page struct {
	*Report
	CallsPlot, ReasonsPlot, EventsPlot template.HTML
	Tables                             []groupTable
}

// groupTable is the table of one dimension.
type groupTable struct {
	Dimension Dimension
	Groups    []Group
}

// WritePage writes the report as a page of HTML that loads nothing else.
func (r *Report) WritePage(w io.Writer) error {
	p := page{Report: r}
	for _, d := range []Dimension{ByRank, ByRoute, ByZone, ByOrganisation} {
		p.Tables = append(p.Tables, groupTable{d, r.Groups[d]})
	}
	plots := []struct {
		to   *template.HTML
		draw func() (template.HTML, error)
	}{{&p.CallsPlot, r.callsPlot}, {&p.ReasonsPlot, r.reasonsPlot}, {&p.EventsPlot, r.eventsPlot}}
	for _, plot := range plots {
		var err error
		if *plot.to, err = plot.draw(); err != nil {
			return trace.Wrap(err, "drawing a plot")
		}
	}
	return trace.Wrap(pageTemplate.Execute(w, p))
}

// percent formats the share of a group's calls with an outcome of a kind.
func percent(g Group, kind Kind) string { return fmt.Sprintf("%.1f%%", 100*g.Share(kind)) }
