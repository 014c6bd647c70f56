package main

import (
	"context"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

var firmNames = []string{"vunivalu", "dunhlyja"}

func describeExperiments() string {
	var text strings.Builder
	for _, x := range experiments {
		fmt.Fprintf(&text, "%s: %s\n", x.Name, x.Doc)
	}
	return text.String()
}

// BoundError reports figures that did not keep their bounds.
type BoundError struct {
	Lines []string
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("%d figures miss their bounds", len(e.Lines))
}

// runNamed runs the named experiments for one firm.
func runNamed(ctx context.Context, programs, firm string, names []string) error {
	var missed []string
	for _, name := range names {
		x, err := findExperiment(name)
		if err != nil {
			return err
		}
		results, err := runExperiment(ctx, programs, x, firm)
		if err != nil {
			return err
		}
		for _, r := range results {
			fmt.Println(r.line())
			if !r.Measure.pass(r.Now) {
				missed = append(missed, r.line())
			}
		}
	}
	if len(missed) > 0 {
		return &BoundError{Lines: missed}
	}
	return nil
}

func findExperiment(name string) (experiment, error) {
	for _, x := range experiments {
		if x.Name == name {
			return x, nil
		}
	}
	return experiment{}, &UnknownExperimentError{Name: name}
}

// runMeasure runs all experiments for both firms and writes the report; a missed bound is reported, not an error.
func runMeasure(ctx context.Context, programs, out string) error {
	var report strings.Builder
	report.WriteString("# Measures\n\nWritten by `make measure`: real processes over loopback, 9 instances, the stand-ins' servers with the sizes of the\n" +
		"brief. The delays between zones are not put in. Baseline is the naive policy: random replicas, no owners, limits,\n" +
		"hedges or classes, blind retries. Each policy has a fleet of its own, one after the other.\n")
	for _, x := range experiments {
		fmt.Fprintf(&report, "\n## %s\n\n%s\n\n", x.Name, x.Doc)
		var results []result
		for _, firm := range firmNames {
			more, err := runExperiment(ctx, programs, x, firm)
			if err != nil {
				fmt.Fprintf(&report, "Not measured for %s: %v\n\n", firm, err)
				continue
			}
			for _, r := range more {
				fmt.Println(r.line())
			}
			results = append(results, more...)
		}
		writeTable(&report, results)
		file := strings.ToLower(x.Name) + ".svg"
		if err := drawPlot(filepath.Join(out, "measures", file), x.Name, results); err != nil {
			return &demoError{Step: "plot", Err: err}
		}
		fmt.Fprintf(&report, "\n![%s](measures/%s)\n", x.Name, file)
		// The report is written after each experiment, so that a run that is cut off leaves what it has.
		if err := os.WriteFile(filepath.Join(out, "MEASURES.md"), []byte(report.String()+notRun), 0o644); err != nil {
			return &demoError{Step: "report", Err: err}
		}
	}
	return nil
}

// notRun lists the measures that no experiment takes yet.
const notRun = "\n## Not run\n\nThe design's rejected alternatives as baselines, and every experiment that this page does not mention.\n"

func writeTable(report *strings.Builder, results []result) {
	report.WriteString("| Measure | Firm | Unit | Baseline | Now | Bound | |\n| --- | --- | --- | ---: | ---: | ---: | --- |\n")
	for _, r := range results {
		sign, verdict := "≤", "Fail"
		if r.Measure.AtLeast {
			sign = "≥"
		}
		if r.Measure.pass(r.Now) {
			verdict = "Pass"
		}
		fmt.Fprintf(report, "| %s | %s | %s | %.4g | %.4g | %s %.4g | %s |\n", r.Measure.Name, r.Firm, r.Measure.Unit, r.Baseline, r.Now, sign, r.Measure.Bound, verdict)
	}
	report.WriteString("\n```\n")
	for _, r := range results {
		report.WriteString(r.line() + "\n")
	}
	report.WriteString("```\n")
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 12
)

// drawPlot draws the figures beside the baseline's and the bounds.
func drawPlot(file, title string, results []result) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = title
	series := []struct {
		name  string
		shade color.Gray
		value func(result) float64
	}{
		{"naive", color.Gray{Y: 190}, func(r result) float64 { return r.Baseline }},
		{"pollenline", color.Gray{Y: 60}, func(r result) float64 { return r.Now }},
		{"bound", color.Gray{Y: 235}, func(r result) float64 { return r.Measure.Bound }},
	}
	var labels []string
	for _, r := range results {
		labels = append(labels, r.Measure.Name+"\n"+r.Firm)
	}
	for n, s := range series {
		values := make(plotter.Values, 0, len(results))
		for _, r := range results {
			values = append(values, s.value(r))
		}
		if len(values) == 0 {
			return nil
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = s.shade
		bars.Offset = vg.Points(float64(n-1) * barWidth)
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	p.Legend.Top = true
	p.NominalX(labels...)
	return p.Save(plotWidth, plotHeight, file)
}
