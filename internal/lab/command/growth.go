package command

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/report"
	"havenproxy/internal/lab/virtual"
)

// size is a fleet's: proxies times databases, in groups of four.
type size struct{ proxies, databases int }

func (s size) String() string { return fmt.Sprintf("%dx%d", s.proxies, s.databases) }

// groupOf is how many databases hold the same data, in the fleets of different sizes.
const groupOf = 4

func parseSizes(words []string) (out []size, err error) {
	for _, w := range words {
		a, b, ok := strings.Cut(w, "x")
		n, err1 := strconv.Atoi(a)
		m, err2 := strconv.Atoi(b)
		if !ok || err1 != nil || err2 != nil || n < 1 || m < groupOf || n > 10000 || m > 1<<16 {
			return nil, fmt.Errorf("%w: --sizes has %q, proxies and databases were expected, such as 10x100 (%d databases at least)", ErrUsage, w, groupOf)
		}
		out = append(out, size{n, m})
	}
	return out, nil
}

// growth plays one size: steady traffic at a part of the capacity, and a primary that crashes in one group of ten.
func growth(s size, seed uint64, demand, faster float64, length time.Duration) (row report.Growth) {
	cfg := virtual.Yard(seed)
	cfg.Fleet.Groups, cfg.Fleet.Members = max(s.databases/groupOf, 1), groupOf
	cfg.Fleet.Classes = append([]fleet.Class(nil), cfg.Fleet.Classes...)
	for i := range cfg.Fleet.Classes {
		w := &cfg.Fleet.Classes[i].Work
		w.From, w.To = time.Duration(float64(w.From)/faster), time.Duration(float64(w.To)/faster)
	}
	rate := demand * cfg.Capacity()
	cfg.Proxies, cfg.For, cfg.Clocked = s.proxies, length, true
	cfg.Rate = func(time.Duration) float64 { return rate }
	for g := 0; g < cfg.Fleet.Groups; g += 10 {
		cfg.Faults = append(cfg.Faults, virtual.Fault{At: length / 4, Fault: fleet.Fault{Kind: fleet.Crash, Group: g, Member: fleet.Primary, For: 4 * time.Second}})
	}
	runtime.GC()
	var after runtime.MemStats
	began := time.Now()
	r := virtual.Play(cfg)
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	offered := 0
	for _, c := range r.Classes {
		offered += c.Offered
	}
	k := &r.Counters
	per := func(n uint64) float64 { return float64(n) / float64(max(offered, 1)) }
	seconds := length.Seconds()
	return report.Growth{Proxies: s.proxies, Databases: s.databases, Rate: rate, Worth: r.Worth, Probes: per(k.Probes),
		Misroutes:  per(k.Misdirected + k.Rejected + k.TimedOut + k.ConnectFailed + k.Reset),
		ProbeWork:  float64(k.Probes) / seconds * 300e-6 / float64(3*s.databases),
		Links:      float64(r.Links) / float64(s.databases),
		CPU:        r.InProxies.Seconds() / float64(max(offered, 1)) * 1e6,
		Idle:       r.InTimers.Seconds() / float64(s.proxies) / seconds,
		Wall:       took.Seconds() / seconds,
		Memory:     float64(after.Sys) / 1e6,
		Steps:      float64(r.Steps) / took.Seconds(),
		FirstWrite: firstWrite(r),
	}
}

// firstWrite is the median time from an election to the first write at the new primary, in ms.
func firstWrite(r *virtual.Result) float64 {
	var list []float64
	for _, e := range r.Switches {
		if e.First > 0 {
			list = append(list, float64(e.First.Milliseconds()))
		}
	}
	return median(list)
}

func growthCommand() *cobra.Command {
	var seed uint64
	var sizes []string
	var demand, faster float64
	var length time.Duration
	var plotPath, jsonPath string
	c := &cobra.Command{
		Use:   "growth",
		Short: "Show how costs grow with proxies and databases, in the model",
		Long: "growth plays fleets of several sizes at the same demand, with one primary in ten groups that crashes, and prints what\n" +
			"grows: probes, attempts that went to the wrong place, the proxies' own time, connections, and what the model itself takes.",
		Example: "  havenlab growth --sizes 3x12,10x100,100x1000 --plot growth.svg",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := parseSizes(sizes)
			if err != nil {
				return err
			}
			if demand <= 0 || demand > 10 || faster <= 0 || length < 2*time.Second {
				return fmt.Errorf("%w: --demand is a part of the capacity, --faster above 0, --length at least 2s", ErrUsage)
			}
			quiet()
			out := c.OutOrStdout()
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "size\trequests/s\tworth\tprobes/request\tprobe work\tmisroutes/request\tfirst write ms\tlinks/database\tproxy us/request\tidle proxy\twall/model s\tmemory MB\tsteps/s\t")
			var rows []report.Growth
			for _, s := range list {
				r := growth(s, seed, demand, faster, length)
				rows = append(rows, r)
				fmt.Fprintf(w, "%v\t%.0f\t%.3f\t%.3f\t%.2f %%\t%.4f\t%.0f\t%.1f\t%.1f\t%.2f %%\t%.2f\t%.0f\t%.0f\t\n", s, r.Rate, r.Worth, r.Probes, 100*r.ProbeWork, r.Misroutes,
					r.FirstWrite, r.Links, r.CPU, 100*r.Idle, r.Wall, r.Memory, r.Steps)
			}
			w.Flush()
			if jsonPath != "" {
				if err := report.JSON(jsonPath, rows); err != nil {
					return err
				}
			}
			if plotPath != "" {
				return report.GrowthPlot(plotPath, rows)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "of all random numbers")
	f.StringSliceVar(&sizes, "sizes", []string{"3x12", "10x40", "10x100", "30x300", "100x1000"}, "proxies x databases")
	f.Float64Var(&demand, "demand", 0.6, "part of the capacity that is asked for")
	f.Float64Var(&faster, "faster", 1, "statements that take so many times less work")
	f.DurationVar(&length, "length", 10*time.Second, "of model time")
	f.StringVar(&plotPath, "plot", "", "write a plot of it to this .svg or .png file")
	f.StringVar(&jsonPath, "json", "", "write the figures to this file")
	return c
}
