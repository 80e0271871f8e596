// Package chart writes the results of measurements as JSON and as pictures.
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

// Bar is one value of a picture.
type Bar struct {
	Label string
	Value float64
}

// Chart is a group of values with one unit.
type Chart struct {
	Title string
	Unit  string
	Bars  []Bar
}

const (
	rowHeight  = 22
	labelWidth = 330
	barWidth   = 420
	margin     = 16
	dirMode    = 0o755
	fileMode   = 0o644
)

// SVG returns the chart as a picture.
func (c Chart) SVG() string {
	most := 0.0
	for _, b := range c.Bars {
		most = max(most, b.Value)
	}
	var out strings.Builder
	height := margin*3 + rowHeight*len(c.Bars)
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`,
		labelWidth+barWidth+120, height)
	fmt.Fprintf(&out, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20" font-weight="bold">%s (%s)</text>`,
		margin, html.EscapeString(c.Title), html.EscapeString(c.Unit))
	for i, b := range c.Bars {
		y := margin*2 + rowHeight*i
		width := 0.0
		if most > 0 {
			width = b.Value / most * barWidth
		}
		colour := "#2f6f9f"
		if strings.Contains(b.Label, "naive") {
			colour = "#b0b0b0"
		}
		fmt.Fprintf(&out, `<text x="%d" y="%d">%s</text><rect x="%d" y="%d" width="%.1f" height="14" fill="%s"/><text x="%.1f" y="%d">%.4g</text>`,
			margin, y+12, html.EscapeString(b.Label), labelWidth, y, width, colour, labelWidth+width+6, y+12, b.Value)
	}
	out.WriteString("</svg>\n")
	return out.String()
}

// Write puts the results and the charts into a folder, under a name.
func Write(dir, name string, results any, charts []Chart) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "create folder")
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.WriteFile(filepath.Join(dir, name+".json"), append(data, '\n'), fileMode); err != nil {
		return errors.Wrap(err, "write results")
	}
	for i, c := range charts {
		file := filepath.Join(dir, fmt.Sprintf("%s-%d.svg", name, i+1))
		if err := os.WriteFile(file, []byte(c.SVG()), fileMode); err != nil {
			return errors.Wrap(err, "write chart")
		}
	}
	return nil
}
