package chart

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"

	"bramleyrock/core/plan"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// width and height are in points.
	width  vg.Length = 510
	height vg.Length = 340
	// percent turns a share into per cent.
	percent = 100
)

// Read returns the runs in a JSON array.
func Read(r io.Reader) ([]plan.Tradeoff, error) {
	var rows []plan.Tradeoff
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&rows); err != nil {
		return nil, fmt.Errorf("read measured runs: %w", err)
	}
	return rows, nil
}

// WriteCSV writes the runs as a table with a head line.
func WriteCSV(w io.Writer, rows []plan.Tradeoff) error {
	c := csv.NewWriter(w)
	lines := [][]string{{"deployment", "policy", "hosts", "idle_share", "late_share", "moves", "roll_out_seconds", "seed"}}
	for _, r := range rows {
		lines = append(lines, []string{
			r.Deployment, r.Policy, strconv.Itoa(r.Hosts), share(r.IdleShare), share(r.LateShare),
			strconv.Itoa(r.Moves), strconv.FormatFloat(r.RollOutSeconds, 'f', 0, 64), strconv.FormatUint(r.Seed, 10),
		})
	}
	if err := c.WriteAll(lines); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func share(x float64) string { return strconv.FormatFloat(x, 'f', 5, 64) }

// WriteSVG draws the late work of each run over its buffer, with a line for
// each deployment and policy.
func WriteSVG(w io.Writer, title string, rows []plan.Tradeoff) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "buffer: idle slots (%)"
	p.Y.Label.Text = "late work (%)"
	p.Legend.Top = true
	var lines []any
	for _, s := range group(rows) {
		lines = append(lines, s.name, s.points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw runs: %w", err)
	}
	to, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return fmt.Errorf("draw plot: %w", err)
	}
	if _, err := to.WriteTo(w); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// series is the runs of one deployment and policy.
type series struct {
	name   string
	points plotter.XYs
}

// group returns the series in order of name, their points in order of buffer.
func group(rows []plan.Tradeoff) []series {
	byName := map[string]int{}
	var all []series
	for _, r := range rows {
		name := r.Deployment + " " + r.Policy
		i, ok := byName[name]
		if !ok {
			i = len(all)
			byName[name] = i
			all = append(all, series{name: name})
		}
		all[i].points = append(all[i].points, plotter.XY{X: percent * r.IdleShare, Y: percent * r.LateShare})
	}
	for _, s := range all {
		slices.SortFunc(s.points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	}
	slices.SortFunc(all, func(a, b series) int { return cmp.Compare(a.name, b.name) })
	return all
}
