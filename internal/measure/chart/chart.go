// Package chart writes the results of measurements as JSON files and SVG bar
// charts.
package chart

import (
	"encoding/json"
	"fmt"
	"html"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

// Bar is one labelled value of a chart.
type Bar struct {
	Label string
	Value float64
}

// Chart is a bar chart whose values share a unit.
type Chart struct {
	Title string
	Unit  string
	Bars  []Bar
}

// The sizes of the layout are in pixels.
const (
	rowHeight  = 22
	labelWidth = 330
	barWidth   = 420
	margin     = 16
	dirMode    = 0o755
	fileMode   = 0o644
)

// SVG returns the chart as an SVG document. Bars whose label contains "naive"
// are grey.
func (c Chart) SVG() string {
	maxValue := 0.0
	for _, b := range c.Bars {
		maxValue = max(maxValue, b.Value)
	}
	var svg strings.Builder
	height := margin*3 + rowHeight*len(c.Bars)
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`,
		labelWidth+barWidth+120, height)
	fmt.Fprintf(&svg, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20" font-weight="bold">%s (%s)</text>`,
		margin, html.EscapeString(c.Title), html.EscapeString(c.Unit))
	for i, b := range c.Bars {
		y := margin*2 + rowHeight*i
		width := 0.0
		if maxValue > 0 {
			width = b.Value / maxValue * barWidth
		}
		colour := "#2f6f9f"
		if strings.Contains(b.Label, "naive") {
			colour = "#b0b0b0"
		}
		fmt.Fprintf(&svg, `<text x="%d" y="%d">%s</text><rect x="%d" y="%d" width="%.1f" height="14" fill="%s"/><text x="%.1f" y="%d">%.4g</text>`,
			margin, y+12, html.EscapeString(b.Label), labelWidth, y, width, colour, labelWidth+width+6, y+12, b.Value)
	}
	svg.WriteString("</svg>\n")
	return svg.String()
}

// Write creates dir if it is missing and writes the results to name.json and the
// charts to name-1.svg, name-2.svg and so on.
func Write(dir, name string, results any, charts []Chart) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "create results directory")
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.WriteFile(filepath.Join(dir, name+".json"), append(data, '\n'), fileMode); err != nil {
		return errors.Wrap(err, "write results")
	}
	for i, c := range charts {
		path := filepath.Join(dir, fmt.Sprintf("%s-%d.svg", name, i+1))
		if err := os.WriteFile(path, []byte(c.SVG()), fileMode); err != nil {
			return errors.Wrap(err, "write chart")
		}
	}
	return nil
}
