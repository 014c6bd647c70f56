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

// describeExperiments returns help text with a line for each experiment.
func describeExperiments() string {
	var text strings.Builder
	for _, x := range experiments {
		fmt.Fprintf(&text, "%s: %s\n", x.Name, x.Description)
	}
	return text.String()
}

// BoundError reports the figures that missed their bounds, each with its summary line.
type BoundError struct {
	Lines []string
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("%d figures miss their bounds: %s", len(e.Lines), strings.Join(e.Lines, "; "))
}

// runNamedExperiments runs experiments for one firm and prints their results. It returns a BoundError if any bound was
// missed.
func runNamedExperiments(ctx context.Context, programs, firm string, names []string) error {
	var missed []string
	for _, name := range names {
		x, err := experimentByName(name)
		if err != nil {
			return err
		}
		results, err := runExperiment(ctx, programs, x, firm)
		if err != nil {
			return err
		}
		for _, r := range results {
			fmt.Println(r.summary())
			if !r.Measure.passes(r.Now) {
				missed = append(missed, r.summary())
			}
		}
	}
	if len(missed) > 0 {
		return &BoundError{Lines: missed}
	}
	return nil
}

func experimentByName(name string) (experiment, error) {
	for _, x := range experiments {
		if x.Name == name {
			return x, nil
		}
	}
	return experiment{}, &UnknownExperimentError{Name: name}
}

// measureAll runs all experiments for both firms and writes the report. A missed bound appears in the report and is not
// an error.
func measureAll(ctx context.Context, programs, out string) error {
	var report strings.Builder
	report.WriteString("# Measures\n\nWritten by `make measure`: real processes over loopback, 9 instances, and fake backend servers of the sizes that\n" +
		"the users specify, without network delays between zones. Baseline is the naive policy: random replicas, no owners,\n" +
		"limits, hedges or classes, and a retry after any failure. Each policy runs on a fleet of its own, one after the other.\n")
	for _, x := range experiments {
		fmt.Fprintf(&report, "\n## %s\n\n%s\n\n", x.Name, x.Description)
		var results []result
		for _, firm := range firmNames {
			firmResults, err := runExperiment(ctx, programs, x, firm)
			if err != nil {
				fmt.Fprintf(&report, "Not measured for %s: %v\n\n", firm, err)
				continue
			}
			for _, r := range firmResults {
				fmt.Println(r.summary())
			}
			results = append(results, firmResults...)
		}
		writeTable(&report, results)
		file := strings.ToLower(x.Name) + ".svg"
		if err := drawPlot(filepath.Join(out, "measures", file), x.Name, results); err != nil {
			return &StepError{Step: "plot", Err: err}
		}
		fmt.Fprintf(&report, "\n![%s](measures/%s)\n", x.Name, file)
		// Writing the report after each experiment preserves the results so far if a run is interrupted.
		if err := os.WriteFile(filepath.Join(out, "MEASURES.md"), []byte(report.String()+notMeasuredSection), 0o644); err != nil {
			return &StepError{Step: "report", Err: err}
		}
	}
	return nil
}

// notMeasuredSection is the section of the report on measures that no experiment covers.
const notMeasuredSection = "\n## Not run\n\nThe design's rejected alternatives as baselines, and every experiment that this page does not mention.\n"

// writeTable writes the results as a table, followed by their summary lines.
func writeTable(report *strings.Builder, results []result) {
	report.WriteString("| Measure | Firm | Unit | Baseline | Now | Bound | |\n| --- | --- | --- | ---: | ---: | ---: | --- |\n")
	for _, r := range results {
		sign, verdict := "≤", "Fail"
		if r.Measure.AtLeast {
			sign = "≥"
		}
		if r.Measure.passes(r.Now) {
			verdict = "Pass"
		}
		fmt.Fprintf(report, "| %s | %s | %s | %.4g | %.4g | %s %.4g | %s |\n", r.Measure.Name, r.Firm, r.Measure.Unit, r.Baseline, r.Now, sign, r.Measure.Bound, verdict)
	}
	report.WriteString("\n```\n")
	for _, r := range results {
		report.WriteString(r.summary() + "\n")
	}
	report.WriteString("```\n")
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 12
)

// drawPlot writes a bar chart that shows each figure next to its baseline and its bound.
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
