package experiment

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"go.starlark.net/starlark"

	"havenproxy/internal/operator/star"
)

// Sweep is one setting or two that are tried at several values each: every combination is a variant.
type Sweep struct {
	Names  []string
	Values [][]string // of each setting, as they stand in the file
	Point  [][]int    // of each variant, the places of its values
}

const mostPoints = 400

// sweep reads sweep(operator = "handover(likely = {likely})", values = {"likely": [0.4, 0.6]}).
func (p *parser) sweep(c *star.Call) starlark.Value {
	if p.e.Sweep != nil {
		c.Errorf("", "sweep() is called a second time")
	}
	text := c.String("operator", "")
	s := &Sweep{}
	c.Dict("values", func(name string, v starlark.Value) {
		list, ok := v.(*starlark.List)
		if !ok || list.Len() == 0 {
			c.Errorf("values", "values: %q is %s, a list was expected", name, v.Type())
			return
		}
		if !strings.Contains(text, "{"+name+"}") {
			c.Errorf("operator", "operator has no {%s}", name)
		}
		var words []string
		for i := range list.Len() {
			words = append(words, list.Index(i).String())
		}
		s.Names, s.Values = append(s.Names, name), append(s.Values, words)
	})
	points := 1
	for _, v := range s.Values {
		points *= len(v)
	}
	if len(s.Names) < 1 || len(s.Names) > 2 || points < 2 || points > mostPoints {
		c.Errorf("values", "sweep: %d settings with %d combinations: one or two settings and 2 to %d combinations were expected", len(s.Names), points, mostPoints)
		return nil
	}
	for i := range points {
		at, name, own := []int{i % len(s.Values[0])}, "", text
		if len(s.Names) == 2 {
			at = append(at, i/len(s.Values[0]))
		}
		for k, n := range s.Names {
			word := s.Values[k][at[k]]
			own = strings.ReplaceAll(own, "{"+n+"}", word)
			name += fmt.Sprintf("%s = %s, ", n, word)
		}
		s.Point = append(s.Point, at)
		p.e.Variants = append(p.e.Variants, &Variant{Name: strings.TrimSuffix(name, ", "), Operator: own})
		p.asks = append(p.asks, c)
	}
	p.e.Sweep = s
	return nil
}

// tunable is a setting of the operator's file with values to either side of its default.
type tunable struct{ call, name, low, high string }

// tunables are the settings whose weight Sensitivity tells; each is a third to a half and up to three times its default.
var tunables = []tunable{
	{"routing", "ping_window", "'5ms'", "'45ms'"}, {"routing", "first_limit", "12", "108"},
	{"handover", "likely", "0.45", "0.8"}, {"handover", "keep", "0.3", "0.6"}, {"handover", "late_cost", "0.1", "0.9"},
	{"handover", "most_held", "64", "2048"}, {"handover", "most_time", "'1s'", "'9s'"}, {"handover", "blip", "'300ms'", "'3s'"},
	{"handover", "settle", "'700ms'", "'6s'"}, {"handover", "search", "'17ms'", "'150ms'"}, {"handover", "margin", "'33ms'", "'300ms'"},
	{"handover", "fade", "'3m'", "'30m'"},
	{"levels", "enter", "0.04", "0.24"}, {"levels", "leave", "0.007", "0.06"}, {"levels", "enter_after", "'300ms'", "'3s'"},
	{"levels", "margin", "0.6", "1.0"}, {"levels", "dwell", "'2s'", "'15s'"}, {"levels", "dwell_most", "'27s'", "'240s'"}, {"levels", "fill", "0.9", "1.6"},
}

// Sensitivity makes an experiment of a scenario: each setting of the calls named, by itself, below and above its default, against
// all of them at their defaults.
func (e *Experiment) Sensitivity(calls []string) (*Experiment, error) {
	out := *e
	out.Variants, out.Sweep = nil, nil
	base := func(but, with string) string {
		var b strings.Builder
		for _, c := range calls {
			if c == but {
				fmt.Fprintf(&b, "%s(%s)\n", c, with)
			} else {
				fmt.Fprintf(&b, "%s()\n", c)
			}
		}
		return b.String()
	}
	add := func(name, text string) error {
		v := &Variant{Name: name, Operator: text}
		out.Variants = append(out.Variants, v)
		return v.read(e.Scenario)
	}
	for _, c := range calls {
		if !slices.ContainsFunc(tunables, func(t tunable) bool { return t.call == c }) {
			return nil, fmt.Errorf("%q has no settings that are known here: routing, handover and levels have", c)
		}
	}
	if err := add("defaults", base("", "")); err != nil {
		return nil, err
	}
	for _, t := range tunables {
		for _, c := range calls {
			if c != t.call {
				continue
			}
			for _, value := range []string{t.low, t.high} {
				name := fmt.Sprintf("%s.%s = %s", t.call, t.name, strings.Trim(value, "'"))
				if err := add(name, base(t.call, t.name+" = "+value)); err != nil {
					return nil, fmt.Errorf("%s: %w", name, err)
				}
			}
		}
	}
	return &out, nil
}

// Weight is how much a setting moves a question's figure at most.
type Weight struct {
	Setting string
	Most    *Compared // of its variants, the one with the larger difference
}

// Weights ranks the settings of a sensitivity experiment, by question.
func (o *Outcome) Weights(q Question) (out []Weight) {
	at := map[string]int{}
	for _, c := range o.Comparisons {
		if c.Question != q {
			continue
		}
		setting, _, _ := strings.Cut(c.Variant, " = ")
		i, ok := at[setting]
		if !ok {
			i = len(out)
			at[setting] = i
			out = append(out, Weight{setting, c})
		}
		if math.Abs(c.Mean) > math.Abs(out[i].Most.Mean) {
			out[i].Most = c
		}
	}
	slices.SortStableFunc(out, func(a, b Weight) int { return cmp.Compare(math.Abs(b.Most.Mean), math.Abs(a.Most.Mean)) })
	return out
}
