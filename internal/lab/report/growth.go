package report

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"havenproxy/internal/lab/chart"
)

// Growth is what a fleet of one size costs.
type Growth struct {
	Proxies    int     `json:"proxies"`
	Databases  int     `json:"databases"`
	Rate       float64 `json:"requests_per_s"`
	Worth      float64 `json:"worth"`
	Probes     float64 `json:"probes_per_request"`
	ProbeWork  float64 `json:"probe_work"` // part of the databases' capacity that answers probes
	Misroutes  float64 `json:"misroutes_per_request"`
	FirstWrite float64 `json:"first_write_ms"` // from an election, the median
	Links      float64 `json:"links_per_database"`
	CPU        float64 `json:"proxy_us_per_request"` // of the decisions and their state, no sockets
	Idle       float64 `json:"idle_proxy"`           // part of a core that a proxy's clockwork takes by itself
	Wall       float64 `json:"wall_per_model_s"`
	Memory     float64 `json:"memory_mb"`
	Steps      float64 `json:"steps_per_s"`
}

// GrowthPlot draws costs against the number of proxies times databases, on log scales.
func GrowthPlot(path string, rows []Growth) error {
	p := chart.New("proxies x databases", "")
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Left = true
	for i, x := range []struct {
		name string
		of   func(Growth) float64
	}{{"wall s a model s", func(g Growth) float64 { return g.Wall }}, {"memory, GB", func(g Growth) float64 { return g.Memory / 1e3 }},
		{"probes a request", func(g Growth) float64 { return g.Probes }}, {"misroutes a request", func(g Growth) float64 { return g.Misroutes }},
		{"proxy us a request / 100", func(g Growth) float64 { return g.CPU / 100 }}, {"idle proxy, part of a core", func(g Growth) float64 { return g.Idle }}} {
		var xy plotter.XYs
		for _, g := range rows {
			if y := x.of(g); y > 0 {
				xy = append(xy, plotter.XY{X: float64(g.Proxies * g.Databases), Y: y})
			}
		}
		if len(xy) < 2 {
			continue
		}
		if err := chart.Line(p, i, x.name, xy); err != nil {
			return err
		}
	}
	return p.Save(chart.Width, 1.6*chart.Height, path)
}
