package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"havenproxy/internal/lab/history"
)

// Sample is what happened in one second of the schedule, by the time at which requests were due.
type Sample struct {
	Offered int     `json:"offered"`
	InAim   int     `json:"in_aim"`
	Worth   float64 `json:"worth"`
	Asked   float64 `json:"asked"` // the worth that was asked for
}

// Tenth is what happened to the requests that were due in one tenth of a second.
type Tenth struct {
	Offered int     `json:"offered"`
	InAim   int     `json:"in_aim"`
	Longest float64 `json:"longest_ms"` // answer time, from when it was due
}

// The schedule is taken for kept where the generator itself was no later than this; a run where it was is marked.
const (
	lateP99Most = 5.0   // ms
	lateMost    = 250.0 // ms
)

// ClassResult is what became of a class's requests.
type ClassResult struct {
	Name      string         `json:"name"`
	Offered   int            `json:"offered"`
	Outcomes  map[string]int `json:"outcomes"`
	Refusals  int            `json:"refusals"` // each try counts
	Worth     float64        `json:"worth"`    // earned, as a part of what was asked for
	InAim     float64        `json:"in_aim"`   // part of the requests
	P50       float64        `json:"p50_ms"`   // of what was served, from when it was due
	P99       float64        `json:"p99_ms"`
	P999      float64        `json:"p999_ms"`
	SentP50   float64        `json:"sent_p50_ms"` // from when it went out: what a generator that waits for answers would have told
	SentP99   float64        `json:"sent_p99_ms"`
	SentP999  float64        `json:"sent_p999_ms"`
	worth     float64
	asked     float64
	due, sent *hdrhistogram.Histogram
}

// Result is the outcome of a run.
type Result struct {
	Classes []ClassResult  `json:"classes"`
	Worth   float64        `json:"worth"`     // earned, as a part of what was asked for
	Worst10 float64        `json:"worst_10s"` // the same in the worst ten seconds
	Faults  map[string]int `json:"faults"`    // answers that break a promise
	LateP99 float64        `json:"generator_late_p99_ms"`
	LateMax float64        `json:"generator_late_max_ms"`
	// WaitP99 is how long requests waited for a socket of their own to be free. It is in the answer times, as it would be for
	// clients with so many sockets.
	WaitP99 float64  `json:"socket_wait_p99_ms"`
	WaitMax float64  `json:"socket_wait_max_ms"`
	Marked  []string `json:"marked,omitempty"` // why this run's figures are not what they seem
	Seconds []Sample `json:"seconds"`
	Tenths  []Tenth  `json:"tenths"`

	Writes []history.Write `json:"-"` // with Config.Record
}

// Class finds a class's result by name.
func (r *Result) Class(name string) *ClassResult {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i]
		}
	}
	return nil
}

type recorder struct {
	cfg     Config
	start   time.Time
	mu      sync.Mutex
	classes []ClassResult
	seconds []Sample
	faults  map[string]int
	late    *hdrhistogram.Histogram
	waits   *hdrhistogram.Histogram
	tenths  []Tenth
	writes  []history.Write
}

// Histograms hold 1 us to 60 s with three digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func newRecorder(cfg Config) *recorder {
	r := &recorder{cfg: cfg, faults: map[string]int{}, late: histogram(), waits: histogram(), tenths: make([]Tenth, int(cfg.For/tenth)+1), seconds: make([]Sample, int(cfg.For/time.Second)+1)}
	for _, c := range cfg.Classes {
		r.classes = append(r.classes, ClassResult{Name: c.Name, Outcomes: map[string]int{}, due: histogram(), sent: histogram()})
	}
	return r
}

func (r *recorder) lateness(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late.RecordValue(max(d.Microseconds(), 1))
}

// wait notes how long a request waited for a socket.
func (r *recorder) wait(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits.RecordValue(max(d.Microseconds(), 1))
}

const tenth = 100 * time.Millisecond

func (r *recorder) refusal(class int, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes[class].Refusals++
}

func (r *recorder) write(w history.Write) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, w)
}

func (r *recorder) fault(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[what]++
}

func (r *recorder) end(q *request, o Outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, class := &r.classes[q.class], &r.cfg.Classes[q.class]
	earned := 0.0
	switch o {
	case InAim:
		earned = class.Worth
	case Late:
		earned = class.Worth * class.LateWorth
	}
	c.Offered++
	c.Outcomes[Names[o]]++
	c.worth += earned
	c.asked += class.Worth
	if o == InAim || o == Late {
		c.due.RecordValue(max(now.Sub(q.due).Microseconds(), 1))
		c.sent.RecordValue(max(now.Sub(q.sent).Microseconds(), 1))
	}
	if i := int(q.due.Sub(r.start) / tenth); i >= 0 && i < len(r.tenths) {
		x := &r.tenths[i]
		x.Offered++
		switch o {
		case InAim:
			x.InAim++
			fallthrough
		case Late:
			x.Longest = max(x.Longest, float64(now.Sub(q.due).Microseconds())/1e3)
		}
	}
	if i := int(q.due.Sub(r.start) / time.Second); i >= 0 && i < len(r.seconds) {
		s := &r.seconds[i]
		s.Offered++
		s.Worth += earned
		s.Asked += class.Worth
		if o == InAim {
			s.InAim++
		}
	}
}

// last gives the last second whose requests have mostly ended.
func (r *recorder) last() Sample {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := int(time.Since(r.start)/time.Second) - 2
	if i < 0 || i >= len(r.seconds) {
		return Sample{}
	}
	return r.seconds[i]
}

func (r *recorder) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Result{Classes: r.classes, Faults: r.faults, Seconds: r.seconds, Worst10: 1, Writes: r.writes,
		LateP99: float64(r.late.ValueAtQuantile(99)) / 1e3, LateMax: float64(r.late.Max()) / 1e3,
		WaitP99: float64(r.waits.ValueAtQuantile(99)) / 1e3, WaitMax: float64(r.waits.Max()) / 1e3, Tenths: r.tenths}
	if out.LateP99 > lateP99Most || out.LateMax > lateMost {
		out.Marked = append(out.Marked, fmt.Sprintf("the generator was late: %.1f ms (p99), %.0f ms at most", out.LateP99, out.LateMax))
	}
	unsent := 0
	for _, c := range r.classes {
		unsent += c.Outcomes[Names[Unsent]]
	}
	if unsent > 0 {
		out.Marked = append(out.Marked, fmt.Sprintf("%d requests found no free socket in their time: too few sockets for what the proxy held up", unsent))
	}
	worth, asked := 0.0, 0.0
	for i := range out.Classes {
		c := &out.Classes[i]
		worth, asked = worth+c.worth, asked+c.asked
		c.Worth, c.InAim = ratio(c.worth, c.asked), ratio(float64(c.Outcomes[Names[InAim]]), float64(c.Offered))
		c.P50, c.P99, c.P999 = quantile(c.due, 50), quantile(c.due, 99), quantile(c.due, 99.9)
		c.SentP50, c.SentP99, c.SentP999 = quantile(c.sent, 50), quantile(c.sent, 99), quantile(c.sent, 99.9)
	}
	out.Worth = ratio(worth, asked)
	for i := 0; i+10 <= len(r.seconds); i++ {
		w, a := 0.0, 0.0
		for _, s := range r.seconds[i : i+10] {
			w, a = w+s.Worth, a+s.Asked
		}
		if a > 0 {
			out.Worst10 = min(out.Worst10, w/a)
		}
	}
	return out
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e3
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
