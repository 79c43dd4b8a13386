package report

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"strconv"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	// eventRowHeight is the height of one event's row.
	eventRowHeight = 0.6 * vg.Centimeter
	eventsMargin   = 2 * vg.Centimeter
	lineWidth      = 1.5 * vg.Millimeter / 4
	legendPadding  = vg.Millimeter
	// maxDotRadius is the radius of the dot for the second with most lines of an event.
	maxDotRadius = 1.6 * vg.Millimeter
	minDotRadius = 0.5 * vg.Millimeter
	// maxCurves is the number of curves of one plot; more can't be told apart.
	maxCurves = 8
)

// palette has colours that can also be told apart with impaired colour vision
// (Okabe and Ito).
var palette = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{0, 0, 0, 255}, color.RGBA{150, 150, 150, 255},
}

// curve is a named line of a plot, with a value for each second.
type curve struct {
	name   string
	values []float64
}

// callsPlot shows the calls by kind of outcome.
func (r *Report) callsPlot() (template.HTML, error) {
	var curves []curve
	for _, kind := range []Kind{Answered, Late, Refused, Failed, EndpointError} {
		curves = append(curves, r.curve(string(kind), func(s Second) int { return s.Of(kind) }))
	}
	return curvesPlot("calls per second", curves)
}

// reasonsPlot shows the refused and failed calls by reason, the most frequent ones.
func (r *Report) reasonsPlot() (template.HTML, error) {
	var curves []curve
	for _, o := range r.Outcomes {
		if o.Reason == "" || len(curves) == maxCurves {
			continue
		}
		curves = append(curves, r.curve(o.String(), func(s Second) int { return s.with(o.Outcome) }))
	}
	return curvesPlot("refused and failed per second", curves)
}

// curve returns the curve of the calls that are counted in each second.
func (r *Report) curve(name string, calls func(Second) int) curve {
	c := curve{name: name, values: make([]float64, len(r.Seconds))}
	for i, s := range r.Seconds {
		c.values[i] = float64(calls(s))
	}
	return c
}

func curvesPlot(title string, curves []curve) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "seconds since the start"
	p.X.Tick.Marker, p.Y.Tick.Marker = wholeTicks{}, wholeTicks{}
	p.Y.Min, p.Legend.Top, p.Legend.Padding = 0, true, legendPadding
	for i, c := range curves {
		points := make(plotter.XYs, len(c.values))
		for x, y := range c.values {
			points[x] = plotter.XY{X: float64(x), Y: y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", trace.Wrap(err)
		}
		line.Color, line.Width = palette[i%len(palette)], lineWidth
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	return svg(p, plotHeight)
}

// eventsPlot shows in which seconds instances wrote which events: a row for each event,
// a dot for each second, which is the larger the more lines there are.
func (r *Report) eventsPlot() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "events of the instances", "seconds since the start"
	p.X.Min, p.X.Max, p.X.Tick.Marker = 0, float64(max(1, len(r.Seconds))), wholeTicks{}
	p.Y.Min, p.Y.Max = -0.5, float64(len(r.Events))-0.5
	var ticks plot.ConstantTicks
	for i, e := range r.Events {
		row := float64(len(r.Events) - 1 - i)
		ticks = append(ticks, plot.Tick{Value: row, Label: e.Message})
		dots, err := eventDots(e, row)
		if err != nil {
			return "", err
		}
		if dots != nil {
			p.Add(dots)
		}
	}
	p.Y.Tick.Marker = ticks
	return svg(p, eventsMargin+eventRowHeight*vg.Length(len(r.Events)))
}

// eventDots returns the dots of one event, nil if none of its lines has a time.
func eventDots(e Event, row float64) (*plotter.Scatter, error) {
	if len(e.Seconds) == 0 {
		return nil, nil
	}
	points, most := make(plotter.XYs, len(e.Seconds)), 0
	for i, second := range e.Seconds {
		points[i] = plotter.XY{X: float64(second), Y: row}
		most = max(most, e.PerSecond[i])
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	style := dots.GlyphStyle
	style.Color = palette[0]
	dots.GlyphStyleFunc = func(i int) draw.GlyphStyle {
		s := style
		s.Radius = max(minDotRadius, maxDotRadius*vg.Length(math.Sqrt(float64(e.PerSecond[i])/float64(most))))
		return s
	}
	return dots, nil
}

// wholeTicks labels an axis with whole numbers.
type wholeTicks struct{}

// Ticks implements plot.Ticker.
func (wholeTicks) Ticks(low, high float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(low, high)
	for i, t := range ticks {
		if t.Label != "" {
			ticks[i].Label = strconv.Itoa(int(math.Round(t.Value)))
		}
	}
	return ticks
}

// svg draws a plot as an SVG element.
func svg(p *plot.Plot, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", trace.Wrap(err)
	}
	// What precedes the element belongs to a document of its own. The names in it are
	// escaped by the canvas.
	begin := max(0, bytes.Index(out.Bytes(), []byte("<svg")))
	return template.HTML(out.Bytes()[begin:]), nil
}
