package bench

import (
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 18 * vg.Centimeter
	barWidth   = 5 * vg.Millimeter / 2
)

// colors are the bar colors of the variants, in their order. The first is that of the
// full policy.
var colors = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255},
	color.RGBA{R: 200, G: 200, B: 200, A: 255},
	color.RGBA{R: 255, G: 127, B: 14, A: 255},
	color.RGBA{R: 148, G: 103, B: 189, A: 255},
}

// plotSpec describes the plot of one measure.
type plotSpec struct {
	file  string
	label string
	value func(Result) float64
}

var plotSpecs = []plotSpec{
	{"policy-goodput.svg", "goodput, % of the capacity or, where less, of the demand", func(r Result) float64 { return 100 * r.Goodput }},
	{"policy-recovery.svg", "recovery after the trigger's end, s", func(r Result) float64 { return r.Recovery.Seconds() }},
	{"policy-worst-customer.svg", "worst-served customer, % of its max-min fair share", func(r Result) float64 { return 100 * r.WorstCustomerShare }},
	{"policy-wrongful.svg", "failed first attempts within the fair share, % of requests", func(r Result) float64 { return 100 * r.WithinShareFailures }},
	{"policy-service.svg", "successful first attempts, %", func(r Result) float64 { return 100 * r.FirstAttemptSuccess }},
}

// writePlots writes each plot of plotSpecs to an SVG file in dir.
func writePlots(results []Result, dir string) error {
	for _, spec := range plotSpecs {
		if err := writePlot(results, spec, filepath.Join(dir, spec.file)); err != nil {
			return err
		}
	}
	return nil
}

// writePlot writes a bar chart of one measure, with a panel for each deployment.
func writePlot(results []Result, spec plotSpec, path string) error {
	deployments := distinct(results, func(r Result) string { return r.Deployment })
	panels := make([][]*plot.Plot, len(deployments))
	for i, d := range deployments {
		p, err := newPanel(results, spec, d)
		if err != nil {
			return err
		}
		panels[i] = []*plot.Plot{p}
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Centimeter}
	for i, row := range plot.Align(panels, tiles, draw.New(canvas)) {
		panels[i][0].Draw(row[0])
	}
	out, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write plot")
	}
	defer out.Close()
	_, err = canvas.WriteTo(out)
	return errors.Wrap(err, "write plot")
}

// newPanel returns the bar chart of a deployment: a group of bars for each case, with
// a bar for each variant.
func newPanel(results []Result, spec plotSpec, deployment string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = deployment
	p.Y.Label.Text = spec.label
	p.Y.Min = 0
	p.Legend.Top = true
	cases := distinct(results, func(r Result) string { return r.Case })
	variantNames := distinct(results, func(r Result) string { return r.Variant })
	for i, variantName := range variantNames {
		bars, err := plotter.NewBarChart(barValues(results, spec, deployment, variantName, cases), barWidth)
		if err != nil {
			return nil, errors.Wrap(err, "draw bars")
		}
		bars.LineStyle.Width = 0
		bars.Color = colors[i%len(colors)]
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(variantNames)-1)/2)
		p.Add(bars)
		p.Legend.Add(variantName, bars)
	}
	p.NominalX(cases...)
	return p, nil
}

// barValues returns the values of a variant in the order of the cases.
func barValues(results []Result, spec plotSpec, deployment, variantName string, cases []string) plotter.Values {
	out := make(plotter.Values, len(cases))
	for _, r := range results {
		if r.Deployment == deployment && r.Variant == variantName {
			out[slices.Index(cases, r.Case)] = spec.value(r)
		}
	}
	return out
}

// distinct returns the different names of the results, in the order of appearance.
func distinct(results []Result, nameOf func(Result) string) []string {
	var out []string
	for _, r := range results {
		if name := nameOf(r); !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
