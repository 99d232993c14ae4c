package analysis

import (
	"math"
	"math/rand/v2"
	"testing"
)

// norris is NIST's reference data set for simple linear regression (StRD, "Norris", lower level of difficulty): pairs of y and x.
var norris = []float64{0.1, 0.2, 338.8, 337.4, 118.1, 118.2, 888.0, 884.6, 9.2, 10.1, 228.1, 226.5, 668.5, 666.3, 998.5, 996.3, 449.1, 448.6,
	778.9, 777.0, 559.2, 558.2, 0.3, 0.4, 0.1, 0.6, 778.1, 775.5, 668.8, 666.9, 339.3, 338.0, 448.9, 447.5, 10.8, 11.6, 557.7, 556.0, 228.3, 228.1,
	998.0, 995.8, 888.8, 887.6, 119.6, 120.2, 0.3, 0.3, 0.6, 0.3, 557.6, 556.8, 339.3, 339.1, 888.0, 887.2, 998.5, 999.0, 778.9, 779.0, 10.2, 11.1,
	117.6, 118.3, 228.9, 229.2, 668.4, 669.1, 449.2, 448.9, 0.2, 0.5}

func near(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("%s is %v, %v was expected", what, got, want)
	}
}

func TestLineAgreesWithReferenceData(t *testing.T) {
	var x, y []float64
	for i := 0; i < len(norris); i += 2 {
		y, x = append(y, norris[i]), append(x, norris[i+1])
	}
	l, err := FitLine(x, y)
	if err != nil {
		t.Fatal(err)
	}
	const slope, slopeError, quantile34 = 1.00211681802045, 0.429796848199937e-3, 2.0322445
	near(t, "slope", l.Slope, slope, 1e-10)
	near(t, "intercept", l.Intercept, -0.262323073774029, 1e-9)
	near(t, "R2", l.R2, 0.999993745883712, 1e-12)
	near(t, "residual deviation", math.Sqrt(l.variance), 0.884796396144373, 1e-9)
	near(t, "upper end of the slope", l.SlopeHigh, slope+quantile34*slopeError, 1e-9)
	near(t, "lower end of the slope", l.SlopeLow, slope-quantile34*slopeError, 1e-9)
}

func TestFewSizesAreSaid(t *testing.T) {
	if _, err := FitLine([]float64{50, 50}, []float64{1, 2}); err == nil {
		t.Error("a line was fitted to one size")
	}
	if l, err := FitLine([]float64{50, 100}, []float64{1, 2}); err != nil || l.Interval || l.Enough() {
		t.Errorf("two sizes: %+v, error %v; a line without interval was expected", l, err)
	}
	if l, _ := FitLine([]float64{50, 100, 200}, []float64{1, 2, 4.1}); !l.Interval || l.Enough() {
		t.Errorf("three sizes: %+v; an interval that is no evidence was expected", l)
	}
	if l, _ := FitLine([]float64{50, 50, 100, 200}, []float64{1, 1, 2, 4.1}); l.Enough() {
		t.Error("three different sizes passed for four")
	}
	if p := FitPower([]float64{50, 100, 200}, []float64{1, 2, 4}); p.Shape != ShapeUnclear || p.Skip == "" {
		t.Errorf("a shape was named from three sizes: %+v", p)
	}
}

func TestPredictionIntervalsHoldWhatTheySay(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 11))
	const plays = 4000
	inside := 0
	for range plays {
		var x, y []float64
		for _, proxies := range []float64{50, 100, 200, 400} {
			x, y = append(x, proxies), append(y, 3+0.02*proxies+0.3*rng.NormFloat64())
		}
		l, err := FitLine(x, y)
		if err != nil {
			t.Fatal(err)
		}
		came := 3 + 0.02*820 + 0.3*rng.NormFloat64()
		if _, low, high, ok := l.Predict(820); ok && low <= came && came <= high {
			inside++
		}
	}
	near(t, "part inside the interval", float64(inside)/plays, confidence, 0.012)
}

func TestShapes(t *testing.T) {
	x := []float64{50, 100, 200, 400, 820}
	for _, c := range []struct {
		of   func(x float64) float64
		want Shape
	}{
		{func(x float64) float64 { return 7 }, ShapeConstant},
		{func(x float64) float64 { return 0 }, ShapeConstant},
		{func(x float64) float64 { return math.Sqrt(x) }, ShapeSublinear},
		{func(x float64) float64 { return 0.04 * x }, ShapeLinear},
		{func(x float64) float64 { return math.Pow(x, 1.5) }, ShapeSuperlinear},
		{func(x float64) float64 { return x * x }, ShapeQuadratic},
	} {
		var y []float64
		for _, v := range x {
			y = append(y, c.of(v))
		}
		if p := FitPower(x, y); p.Shape != c.want {
			t.Errorf("%v: %s was named (exponent %.2f), %s was expected", y, p.Shape, p.Slope, c.want)
		}
	}
	for _, c := range []struct{ low, high float64 }{{-0.04, 0.71}, {0.3, 0.9}, {0.4, 1.2}, {0.9, 1.6}, {-1, 3}} {
		if shape := shapeOf(c.low, c.high); shape != ShapeUnclear {
			t.Errorf("exponents %v to %v were named %s", c.low, c.high, shape)
		}
	}
	if p := FitPower(x, []float64{1, 90, 2, 300, 9}); p.Shape != ShapeUnclear {
		t.Errorf("noise was named %s", p.Shape)
	}
}
