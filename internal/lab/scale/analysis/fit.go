package analysis

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// LeastSizes is the number of different sizes below which a line is no evidence: its interval is given, but marked as thin.
const LeastSizes = 4

// confidence is that of all intervals.
const confidence = 0.95

// Line is a straight line fitted by ordinary least squares.
type Line struct {
	Points    int       `json:"points"`    // behind the fit
	Sizes     int       `json:"sizes"`     // different x among them
	Slope     float64   `json:"slope"`     // unit of y for each unit of x
	SlopeLow  float64   `json:"slope_low"` // lower end of the slope's 95% interval
	SlopeHigh float64   `json:"slope_high"`
	Intercept float64   `json:"intercept"` // unit of y
	R2        float64   `json:"r2"`        // part of y's variance that the line explains; 1 where y doesn't vary
	Residuals []float64 `json:"residuals"` // y less the line, point by point, unit of y
	Interval  bool      `json:"interval"`  // false: fewer than three points, so the slope has no interval

	meanX, sumSquaresX float64 // of x round its mean
	variance           float64 // of the residuals, with Points-2 degrees of freedom
}

// FitLine fits y against x. It is an error if there are not two different x.
func FitLine(x, y []float64) (Line, error) {
	sizes := slices.Clone(x)
	slices.Sort(sizes)
	l := Line{Points: len(x), Sizes: len(slices.Compact(sizes))}
	if len(x) != len(y) || l.Sizes < 2 {
		return l, fmt.Errorf("a line needs two different sizes, %d were measured", l.Sizes)
	}
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	l.meanX = stat.Mean(x, nil)
	for i := range x {
		l.sumSquaresX += (x[i] - l.meanX) * (x[i] - l.meanX)
		residual := y[i] - l.At(x[i])
		l.Residuals = append(l.Residuals, residual)
		l.variance += residual * residual
	}
	l.R2 = 1
	if stat.Variance(y, nil) > 0 {
		l.R2 = stat.RSquared(x, y, nil, l.Intercept, l.Slope)
	}
	l.SlopeLow, l.SlopeHigh = l.Slope, l.Slope
	if l.Interval = l.Points > 2; !l.Interval {
		return l, nil
	}
	l.variance /= float64(l.Points - 2)
	half := l.quantile() * math.Sqrt(l.variance/l.sumSquaresX)
	l.SlopeLow, l.SlopeHigh = l.Slope-half, l.Slope+half
	return l, nil
}

// At gives the line's value.
func (l *Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Predict gives the line's value and the 95% interval of one new measurement there; ok = false where there is no interval.
func (l *Line) Predict(x float64) (value, low, high float64, ok bool) {
	value = l.At(x)
	if !l.Interval {
		return value, value, value, false
	}
	away := x - l.meanX
	half := l.quantile() * math.Sqrt(l.variance*(1+1/float64(l.Points)+away*away/l.sumSquaresX))
	return value, value - half, value + half, true
}

// Enough tells whether there are sizes enough for the line to be evidence.
func (l *Line) Enough() bool { return l.Sizes >= LeastSizes }

// quantile is that of Student's t for a two-sided interval.
func (l *Line) quantile() float64 {
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(l.Points - 2)}
	return t.Quantile(1 - (1-confidence)/2)
}

// Shape says how a cost grows with size.
type Shape string

// The shapes.
const (
	ShapeConstant    Shape = "constant"
	ShapeSublinear   Shape = "below linear"
	ShapeLinear      Shape = "linear"
	ShapeSuperlinear Shape = "above linear"
	ShapeQuadratic   Shape = "quadratic"
	ShapeUnclear     Shape = "not shown"
)

// shapeTolerance is by how much an exponent may differ from 0, 1 or 2 and still count as that: an intercept beside a slope bends the
// log-log line by about as much.
const shapeTolerance = 0.15

// Power is a power law y = factor * x^Exponent, fitted as a line of the logarithms.
type Power struct {
	Line         // of ln y against ln x; its slope is the exponent
	Shape Shape  `json:"shape"`
	Skip  string `json:"skip,omitempty"` // why there is none
}

// FitPower fits a power law. Values that aren't above 0 have no logarithm: then there is none, and Skip says so.
func FitPower(x, y []float64) Power {
	p := Power{Shape: ShapeUnclear}
	logX, logY := make([]float64, len(x)), make([]float64, len(y))
	zeros := 0
	for i := range x {
		if x[i] <= 0 || y[i] <= 0 {
			zeros++
			continue
		}
		logX[i], logY[i] = math.Log(x[i]), math.Log(y[i])
	}
	switch {
	case zeros == len(x):
		p.Shape, p.Skip = ShapeConstant, "all values are 0"
		return p
	case zeros > 0:
		p.Skip = "some values are 0"
		return p
	}
	line, err := FitLine(logX, logY)
	if err != nil {
		p.Skip = err.Error()
		return p
	}
	p.Line = line
	if !line.Interval || !line.Enough() {
		p.Skip = fmt.Sprintf("%d sizes, %d are needed to name a shape", line.Sizes, LeastSizes)
		return p
	}
	p.Shape = shapeOf(line.SlopeLow, line.SlopeHigh)
	return p
}

// Predict gives the power law's value and the 95% interval of one new measurement there; ok = false where there is no interval.
func (p *Power) Predict(x float64) (value, low, high float64, ok bool) {
	value, low, high, ok = p.Line.Predict(math.Log(x))
	value, low, high = math.Exp(value), math.Exp(low), math.Exp(high)
	if math.IsInf(high, 0) { // so wide that it says nothing, and JSON has no infinity
		return value, value, value, false
	}
	return value, low, high, ok
}

// widestShape is how far the interval of an exponent may reach from 0, 1 or 2 and still be named for it: a square root's growth must not
// pass for constant.
const widestShape = 0.5

// shapeOf names the shape that an interval of exponents shows.
func shapeOf(low, high float64) Shape {
	near := func(exponent float64) bool {
		reaches := low <= exponent+shapeTolerance && high >= exponent-shapeTolerance
		return reaches && low > exponent-widestShape && high < exponent+widestShape
	}
	switch {
	case near(0):
		return ShapeConstant
	case near(1):
		return ShapeLinear
	case near(2):
		return ShapeQuadratic
	case low > shapeTolerance && high < 1-shapeTolerance:
		return ShapeSublinear
	case low > 1+shapeTolerance:
		return ShapeSuperlinear
	}
	return ShapeUnclear
}
