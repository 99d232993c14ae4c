// Package chart draws the bench's plots in one look: colours, dashes, grid, margins and size. What is drawn is the caller's.
package chart

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Width and Height are a plot's size on a page.
const (
	Width  = 24 * vg.Centimeter
	Height = 8 * vg.Centimeter
)

// Colours are those of M. Okabe and K. Ito, "Color Universal Design", 2008, which colour-blind readers tell apart; lines differ in
// their dashes as well.
var Colours = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {86, 180, 233, 255}, {230, 159, 0, 255}, {0, 0, 0, 255}}

var dashes = [][]vg.Length{nil, {6, 3}, {2, 2}, {8, 3, 2, 3}, {12, 4}, {4, 4, 1, 4}, {1, 3}}

// Canvas leaves a margin: labels of the last ticks reach beyond the axes.
func Canvas(c vg.CanvasSizer) draw.Canvas {
	return draw.Crop(draw.New(c), 0, -0.6*vg.Centimeter, 0.1*vg.Centimeter, -0.3*vg.Centimeter)
}

// New makes an empty plot with a grid and named axes.
func New(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// Line adds a line in the look that its number gives, and names it in the legend.
func Line(p *plot.Plot, i int, name string, xy plotter.XYs) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color, l.Dashes, l.Width = Colours[i%len(Colours)], dashes[i%len(dashes)], vg.Points(1.4)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// Points adds round marks in the colour that their number gives, and names them in the legend.
func Points(p *plot.Plot, i int, name string, xy plotter.XYs) error {
	s, err := plotter.NewScatter(xy)
	if err != nil {
		return err
	}
	s.GlyphStyle = draw.GlyphStyle{Color: Colours[i%len(Colours)], Radius: vg.Points(3), Shape: draw.CircleGlyph{}}
	p.Add(s)
	p.Legend.Add(name, s)
	return nil
}
