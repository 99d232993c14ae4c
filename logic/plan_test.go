package logic

import (
	"math"
	"testing"
	"time"
)

// asked lets many callers ask once each and tells which the plan turns away. What becomes of the others is the rest of
// the router's business.
func asked(f *front, callers int, class int) (shed []bool) {
	for i := range callers {
		f.nextID++
		q := Request{ID: f.nextID, Class: class, ClientKey: uint64(i + 1), Deadline: f.now + 8*time.Second}
		shed = append(shed, !f.r.admits(f.now, &q, f.r.groups[0]))
	}
	return shed
}

func share(shed []bool) float64 {
	n := 0
	for _, x := range shed {
		if !x {
			n++
		}
	}
	return float64(n) / float64(len(shed))
}

func plan(f *front, share float64) {
	p := make([]Admission, len(f.r.cfg.Classes))
	for i := range p {
		p[i] = Admission{Share: 1}
	}
	p[clsAny] = Admission{Share: share, RetryAfter: 400 * ms}
	f.r.SetAdmission(0, p)
}

func TestAPlanAdmitsItsShareAndTheStricterShedsTheSameAndMore(t *testing.T) {
	f := settled(t, testConfig(), 4)
	plan(f, 0.6)
	mild := asked(f, 2000, clsAny)
	plan(f, 0.2)
	strict := asked(f, 2000, clsAny)
	if a, b := share(mild), share(strict); math.Abs(a-0.6) > 0.04 || math.Abs(b-0.2) > 0.04 {
		t.Errorf("admitted %.3f and %.3f", a, b)
	}
	for i := range mild {
		if mild[i] && !strict[i] {
			t.Fatalf("caller %d is shed by the milder plan and not by the stricter", i)
		}
	}
	if share(asked(f, 100, clsBounded)) != 1 {
		t.Error("a class that the plan admits whole is shed")
	}
	f.r.SetAdmission(0, nil)
	if share(asked(f, 100, clsAny)) != 1 {
		t.Error("without a plan something is shed")
	}
}

// Tries of one caller don't average the shed away; with time the draw turns, so that nobody is cut off for good.
func TestTheDrawHoldsForRetriesAndTurnsWithTime(t *testing.T) {
	f := settled(t, testConfig(), 4)
	plan(f, 0.5)
	first := asked(f, 400, clsAny)
	same, turned := 0, 0
	for range 5 {
		f.pass(20 * ms)
		for i, x := range asked(f, 400, clsAny) {
			if x == first[i] {
				same++
			}
		}
	}
	if same < 5*400*97/100 { // a few turn in this time
		t.Errorf("%d of 2000 tries had the answer of the first", same)
	}
	ever := make([]bool, 400)
	for range 12 {
		f.now += turnEvery
		f.pass(10 * ms)
		for i, x := range asked(f, 400, clsAny) {
			ever[i] = ever[i] || !x
		}
	}
	for _, x := range ever {
		if x {
			turned++
		}
	}
	if turned < 395 {
		t.Errorf("%d of 400 callers were admitted within three minutes", turned)
	}
}

// One that sends most of the traffic is shed by parts of its requests, for it can't be had in part otherwise.
func TestAHeavyCallerIsShedByParts(t *testing.T) {
	f := settled(t, testConfig(), 4)
	plan(f, 0.5)
	admitted, n := 0, 0
	for range 1200 {
		f.pass(10 * ms)
		if f.r.admits(f.now, &Request{Class: clsAny, ClientKey: 42}, f.r.groups[0]) {
			admitted++
		}
		n++
	}
	if part := float64(admitted) / float64(n); part < 0.3 || part > 0.7 {
		t.Errorf("%.2f of its requests were admitted, half was planned", part)
	}
}

func TestRetriesBehindARefusalAreNoNewDemand(t *testing.T) {
	f := settled(t, testConfig(), 4)
	plan(f, 0)
	var facts GroupStats
	f.r.GroupStats(f.now, 0, &facts)
	for range 5 {
		asked(f, 200, clsAny)
		f.now += 50 * ms
	}
	f.r.GroupStats(f.now, 0, &facts)
	// The table of refusals is small: some are pushed out by others and count again.
	if c := facts.Classes[clsAny]; c.Offered+c.Retries != 1000 || c.Offered > 650 || c.Shed > c.Offered {
		t.Errorf("%+v", c)
	}
}

// A shed request is told when to come back, within what clients heed, and not all at one moment.
func TestTheHintOfAShedRequestIsSpread(t *testing.T) {
	f := settled(t, testConfig(), 4)
	plan(f, 0)
	for i := range 100 {
		f.nextID++
		f.r.Request(f.now, Request{ID: f.nextID, Class: clsAny, ClientKey: uint64(i + 1), Deadline: f.now + 8*time.Second})
	}
	seen := map[time.Duration]bool{}
	for id, how := range f.finals {
		if h := f.hints[id]; how != "refused" || h < 200*ms || h > min(600*ms, f.r.cfg.MaxRetryAfter) {
			t.Fatalf("%s, hint %v", how, h)
		} else {
			seen[h] = true
		}
	}
	if len(seen) < 50 {
		t.Errorf("%d different hints for 100 refusals", len(seen))
	}
}

func TestAPlanMayForbidRepeats(t *testing.T) {
	f := settled(t, testConfig(), 4)
	p := make([]Admission, len(f.r.cfg.Classes))
	for i := range p {
		p[i] = Admission{Share: 1, NoRetries: true}
	}
	f.r.SetAdmission(0, p)
	id := f.request(clsAny, 0)
	f.end(f.mustSend(id), Rejected)
	f.wantFinal(id, "refused")
	if f.count(id) != 1 {
		t.Errorf("%d attempts", f.count(id))
	}
}

func BenchmarkAdmits(b *testing.B) {
	r, err := New(testConfig(), printer{})
	if err != nil {
		b.Fatal(err)
	}
	g := r.groupOf(0)
	g.plan = make([]Admission, len(r.cfg.Classes))
	g.plan[clsAny] = Admission{Share: 0.5}
	b.ReportAllocs()
	q := Request{Class: clsAny}
	for i := 0; b.Loop(); i++ {
		q.ID, q.ClientKey = RequestID(i), uint64(i%1000)
		r.admits(time.Duration(i)*time.Microsecond, &q, g)
	}
}
