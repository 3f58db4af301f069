package workload

import (
	"html/template"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot sizes, and the interval over which time series are aggregated.
const (
	plotWidth    = 9 * vg.Inch
	plotHeight   = 4 * vg.Inch
	plotInterval = 2 * time.Second
)

// figure is one plot and the file that it is written to.
type figure struct {
	File  string
	Title string
	write func(path string) error
}

// WriteFiles writes plots, the report as JSON and an index page to dir. It creates
// dir if necessary.
func (r *Recorder) WriteFiles(dir string, rep *Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create report directory")
	}
	r.mu.Lock()
	points := slices.Clone(r.points)
	r.mu.Unlock()
	figures := []figure{
		{"first-token.png", "First token or whole answer, p95 by intended start (ms)", p95Plot(points, func(p timelinePoint) time.Duration { return p.firstToken })},
		{"load-stall.png", "Load stall, p95 by intended start (ms)", p95Plot(points, func(p timelinePoint) time.Duration { return p.stall })},
		{"stall-distribution.png", "Load stall, share of answers up to a value (ms)", stallDistributionPlot(points)},
	}
	for _, f := range figures {
		if err := f.write(filepath.Join(dir, f.File)); err != nil {
			return errors.Wrapf(err, "plot %s", f.File)
		}
	}
	if err := writeReport(filepath.Join(dir, "report.json"), rep); err != nil {
		return err
	}
	return writeIndex(filepath.Join(dir, "index.html"), rep, figures)
}

func bySegment(points []timelinePoint) (names []Segment, out map[Segment][]timelinePoint) {
	out = map[Segment][]timelinePoint{}
	for _, p := range points {
		out[p.segment] = append(out[p.segment], p)
	}
	for s := range out {
		names = append(names, s)
	}
	slices.Sort(names)
	return names, out
}

// p95Plot returns a function that writes a plot to a file: the p95 of value in each
// interval, with one line per segment.
func p95Plot(points []timelinePoint, value func(timelinePoint) time.Duration) func(string) error {
	return func(path string) error {
		p := newPlot("seconds", "ms")
		names, groups := bySegment(points)
		for i, name := range names {
			if err := addLine(p, i, string(name), p95PerInterval(groups[name], value)); err != nil {
				return err
			}
		}
		return p.Save(plotWidth, plotHeight, path)
	}
}

func p95PerInterval(points []timelinePoint, value func(timelinePoint) time.Duration) plotter.XYs {
	buckets := map[int][]time.Duration{}
	for _, p := range points {
		i := int(p.at / plotInterval)
		buckets[i] = append(buckets[i], value(p))
	}
	var out plotter.XYs
	for i, values := range buckets {
		slices.Sort(values)
		v := values[len(values)*95/100]
		out = append(out, plotter.XY{X: float64(i) * plotInterval.Seconds(), Y: v.Seconds() * 1000})
	}
	slices.SortFunc(out, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return out
}

// stallDistributionPlot returns a function that writes a plot to a file: the
// cumulative distribution of load stalls, with one line per segment.
func stallDistributionPlot(points []timelinePoint) func(string) error {
	return func(path string) error {
		p := newPlot("ms", "share")
		names, groups := bySegment(points)
		for i, name := range names {
			if err := addLine(p, i, string(name), cumulative(groups[name])); err != nil {
				return err
			}
		}
		return p.Save(plotWidth, plotHeight, path)
	}
}

func cumulative(points []timelinePoint) plotter.XYs {
	values := make([]time.Duration, len(points))
	for i, p := range points {
		values[i] = p.stall
	}
	slices.Sort(values)
	out := make(plotter.XYs, len(values))
	for i, v := range values {
		out[i] = plotter.XY{X: v.Seconds() * 1000, Y: float64(i+1) / float64(len(values))}
	}
	return out
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Y.Min = 0
	p.Legend.Top = true
	return p
}

func addLine(p *plot.Plot, i int, name string, xys plotter.XYs) error {
	line, err := plotter.NewLine(xys)
	if err != nil {
		return errors.Wrap(err, "plot line")
	}
	line.Color = plotutil.Color(i)
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func writeReport(path string, rep *Report) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create report")
	}
	return errors.CombineErrors(rep.WriteJSON(f), f.Close())
}

var indexPage = template.Must(template.New("index").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Report.Workload}}, seed {{.Report.Seed}}</title>
<style>body{font-family:sans-serif}td,th{padding:.2em .6em;text-align:right}</style>
<h1>{{.Report.Workload}}, seed {{.Report.Seed}}, {{.Report.DurationS}} s</h1>
<p>{{printf "%.1f" .Report.OfferedPerS}} requests/s offered, {{printf "%.1f" .Report.AnsweredPerS}} answered,
{{len .Report.Violations}} violations.{{with .Report.EngineStats}} Batch efficiency {{printf "%.4f" .BatchEfficiency}}, {{.Loads}} loads, {{.Evictions}} evictions.{{end}}
<a href="report.json">report.json</a></p>
<table><tr><th>class<th>segment<th>requests<th>answered<th>not-run<th>unknown<th>stalled<th>first token<th>inter-token<th>total<th>load stall</tr>
{{range .Report.Rows}}<tr><td>{{.Class}}<td>{{.Segment}}<td>{{.Requests}}<td>{{.Answered}}<td>{{.NotRun}}<td>{{.Unknown}}<td>{{.Stalled}}<td>{{.FirstToken}}<td>{{.InterToken}}<td>{{.Total}}<td>{{.LoadStall}}</tr>
{{end}}</table><p>Latencies are p50/p95/p99 in ms.</p>
{{range .Figures}}<h2>{{.Title}}</h2><img src="{{.File}}" alt="{{.Title}}">
{{end}}</html>
`))

type indexData struct {
	Report  *Report
	Figures []figure
}

func writeIndex(path string, rep *Report, figures []figure) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create index page")
	}
	return errors.CombineErrors(indexPage.Execute(f, indexData{Report: rep, Figures: figures}), f.Close())
}
