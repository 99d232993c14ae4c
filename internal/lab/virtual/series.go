package virtual

import (
	"reflect"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"havenproxy/internal/state"
)

// Sample is what came of the requests of one second, by the time at which they came.
type Sample struct {
	Offered, InAim int
	Worth, Asked   float64
	Classes        []ClassSample
}

// ClassSample is that of one class.
type ClassSample struct{ Offered, InAim int }

// Event is something that happened to the fleet.
type Event struct {
	At   time.Duration
	Text string
}

// series keeps what a run looked like over time.
type series struct {
	seconds []Sample
	late    []*hdrhistogram.Histogram // by class: answer times of what was served
	worked  []time.Duration           // of each database, at the last look
}

// worstOver is how long the worst stretch is that a run is judged by.
const worstOver = 10

func (s *series) begin(w *world) {
	s.seconds = make([]Sample, int(w.cfg.For/time.Second)+1)
	classes := len(w.cfg.Fleet.Classes)
	room := make([]ClassSample, classes*len(s.seconds))
	for i := range s.seconds {
		s.seconds[i].Classes = room[i*classes : (i+1)*classes]
	}
	for range classes {
		s.late = append(s.late, hdrhistogram.New(1, 60_000_000, 3))
	}
	s.worked = make([]time.Duration, len(w.fleet.Members()))
	if w.cfg.Heat {
		w.at(base+time.Second, func() { s.look(w) })
	}
}

// look notes how much each database has worked in the last second.
func (s *series) look(w *world) {
	row := make([]float64, len(s.worked))
	for i := range s.worked {
		now := w.fleet.Worked(i)
		row[i] = (now - s.worked[i]).Seconds() / float64(w.fleet.Cores())
		s.worked[i] = now
	}
	if w.res.Load = append(w.res.Load, row); w.clock.now < base+w.cfg.For {
		w.at(w.clock.now+time.Second, func() { s.look(w) })
	}
}

// end notes the end of a request; part is what it earned of its worth.
func (s *series) end(r *request, part float64) {
	i := int((r.due - base) / time.Second)
	if i < 0 || i >= len(s.seconds) {
		return
	}
	x, worth := &s.seconds[i], r.w.cfg.Fleet.Classes[r.class].Worth
	x.Offered++
	x.Asked += worth
	x.Worth += part * worth
	c := &x.Classes[r.class]
	c.Offered++
	if part == 1 {
		x.InAim++
		c.InAim++
	}
	if part > 0 {
		s.late[r.class].RecordValue((r.w.clock.now - r.due).Microseconds())
	}
}

func (s *series) finish(w *world) {
	w.res.Seconds = s.seconds
	w.res.Latency = s.late
	w.res.Worst10 = 1
	for i := 0; i+worstOver <= len(s.seconds); i++ {
		worth, asked := 0.0, 0.0
		for _, x := range s.seconds[i : i+worstOver] {
			worth, asked = worth+x.Worth, asked+x.Asked
		}
		if asked > 0 {
			w.res.Worst10 = min(w.res.Worst10, worth/asked)
		}
	}
}

// addCounters adds one proxy's counters to those of all.
func addCounters(to, from *state.Counters) {
	a, b := reflect.ValueOf(to).Elem(), reflect.ValueOf(from).Elem()
	for i := range a.NumField() {
		a.Field(i).SetUint(a.Field(i).Uint() + b.Field(i).Uint())
	}
}
