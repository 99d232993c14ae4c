package logic

import (
	"math"
	"testing"
	"time"
)

// asked lets many callers ask once each and tells which the plan turns away. What becomes of the others is the rest of
// the router's business.
func requestOnce(f *testProxy, clients int, class int) (shed []bool) {
	for i := range clients {
		f.nextID++
		q := Request{ID: f.nextID, Class: class, ClientKey: uint64(i + 1), Deadline: f.now + 8*time.Second}
		shed = append(shed, !f.router.admits(f.now, &q, f.router.groups[0]))
	}
	return shed
}

func admittedShare(shed []bool) float64 {
	n := 0
	for _, x := range shed {
		if !x {
			n++
		}
	}
	return float64(n) / float64(len(shed))
}

func setPlan(f *testProxy, share float64) {
	p := make([]Admission, len(f.router.cfg.Classes))
	for i := range p {
		p[i] = Admission{Share: 1}
	}
	p[classAny] = Admission{Share: share, RetryAfter: 400 * ms}
	f.router.SetAdmission(0, p)
}

func TestStricterPlanShedsASupersetOfClients(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	setPlan(f, 0.6)
	mild := requestOnce(f, 2000, classAny)
	setPlan(f, 0.2)
	strict := requestOnce(f, 2000, classAny)
	if a, b := admittedShare(mild), admittedShare(strict); math.Abs(a-0.6) > 0.04 || math.Abs(b-0.2) > 0.04 {
		t.Errorf("admitted %.3f and %.3f", a, b)
	}
	for i := range mild {
		if mild[i] && !strict[i] {
			t.Fatalf("caller %d is shed by the milder plan and not by the stricter", i)
		}
	}
	if admittedShare(requestOnce(f, 100, classBounded)) != 1 {
		t.Error("a class that the plan admits whole is shed")
	}
	f.router.SetAdmission(0, nil)
	if admittedShare(requestOnce(f, 100, classAny)) != 1 {
		t.Error("without a plan something is shed")
	}
}

// Tries of one caller don't average the shed away; with time the draw turns, so that nobody is cut off for good.
func TestAdmissionDecisionIsStableThenRedrawn(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	setPlan(f, 0.5)
	first := requestOnce(f, 400, classAny)
	same, turned := 0, 0
	for range 5 {
		f.advance(20 * ms)
		for i, x := range requestOnce(f, 400, classAny) {
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
		f.now += redrawInterval
		f.advance(10 * ms)
		for i, x := range requestOnce(f, 400, classAny) {
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
func TestHeavyClientIsAdmittedInPart(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	setPlan(f, 0.5)
	admitted, n := 0, 0
	for range 1200 {
		f.advance(10 * ms)
		if f.router.admits(f.now, &Request{Class: classAny, ClientKey: 42}, f.router.groups[0]) {
			admitted++
		}
		n++
	}
	if part := float64(admitted) / float64(n); part < 0.3 || part > 0.7 {
		t.Errorf("%.2f of its requests were admitted, half was planned", part)
	}
}

func TestRetriesBehindARefusalAreNoNewDemand(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	setPlan(f, 0)
	var stats GroupStats
	f.router.GroupStats(f.now, 0, &stats)
	for range 5 {
		requestOnce(f, 200, classAny)
		f.now += 50 * ms
	}
	f.router.GroupStats(f.now, 0, &stats)
	// The table of refusals is small: some are pushed out by others and count again.
	if c := stats.Classes[classAny]; c.Offered+c.Retries != 1000 || c.Offered > 650 || c.Shed > c.Offered {
		t.Errorf("%+v", c)
	}
}

// A shed request is told when to come back, within what clients heed, and not all at one moment.
func TestRetryAfterOfShedRequestsIsSpread(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	setPlan(f, 0)
	for i := range 100 {
		f.nextID++
		f.router.Request(f.now, Request{ID: f.nextID, Class: classAny, ClientKey: uint64(i + 1), Deadline: f.now + 8*time.Second})
	}
	seen := map[time.Duration]bool{}
	for id, how := range f.finals {
		if h := f.hints[id]; how != "refused" || h < 200*ms || h > min(600*ms, f.router.cfg.MaxRetryAfter) {
			t.Fatalf("%s, hint %v", how, h)
		} else {
			seen[h] = true
		}
	}
	if len(seen) < 50 {
		t.Errorf("%d different hints for 100 refusals", len(seen))
	}
}

func TestPlanForbidsRetries(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	p := make([]Admission, len(f.router.cfg.Classes))
	for i := range p {
		p[i] = Admission{Share: 1, NoRetries: true}
	}
	f.router.SetAdmission(0, p)
	id := f.request(classAny, 0)
	f.finishAttempt(f.mustSend(id), Rejected)
	f.wantFinal(id, "refused")
	if f.sendCount(id) != 1 {
		t.Errorf("%d attempts", f.sendCount(id))
	}
}

func BenchmarkAdmits(b *testing.B) {
	r, err := New(testConfig(), printingActions{})
	if err != nil {
		b.Fatal(err)
	}
	g := r.listedGroup(0)
	g.admission = make([]Admission, len(r.cfg.Classes))
	g.admission[classAny] = Admission{Share: 0.5}
	b.ReportAllocs()
	q := Request{Class: classAny}
	for i := 0; b.Loop(); i++ {
		q.ID, q.ClientKey = RequestID(i), uint64(i%1000)
		r.admits(time.Duration(i)*time.Microsecond, &q, g)
	}
}
