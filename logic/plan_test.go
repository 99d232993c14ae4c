package logic

import (
	"math"
	"testing"
	"time"
)

// requestOnce has many clients send one request each and returns which of them the plan sheds. The other requests
// are not followed further.
func requestOnce(p *testProxy, clients int, class int) (shed []bool) {
	for i := range clients {
		p.nextID++
		q := Request{ID: p.nextID, Class: class, ClientKey: uint64(i + 1), Deadline: p.now + 8*time.Second}
		shed = append(shed, !p.router.admits(p.now, &q, p.router.groups[0]))
	}
	return shed
}

func admittedShare(shed []bool) float64 {
	admitted := 0
	for _, x := range shed {
		if !x {
			admitted++
		}
	}
	return float64(admitted) / float64(len(shed))
}

func setPlan(p *testProxy, share float64) {
	plan := make([]Admission, len(p.router.cfg.Classes))
	for i := range plan {
		plan[i] = Admission{Share: 1}
	}
	plan[classAny] = Admission{Share: share, RetryAfter: 400 * ms}
	p.router.SetAdmission(0, plan)
}

func TestStricterPlanShedsASupersetOfClients(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 4)
	setPlan(p, 0.6)
	mild := requestOnce(p, 2000, classAny)
	setPlan(p, 0.2)
	strict := requestOnce(p, 2000, classAny)
	if a, b := admittedShare(mild), admittedShare(strict); math.Abs(a-0.6) > 0.04 || math.Abs(b-0.2) > 0.04 {
		t.Errorf("admitted %.3f and %.3f, want 0.6 and 0.2", a, b)
	}
	for i := range mild {
		if mild[i] && !strict[i] {
			t.Fatalf("client %d is shed by the milder plan but not by the stricter", i)
		}
	}
	if admittedShare(requestOnce(p, 100, classBounded)) != 1 {
		t.Error("requests of a class that the plan admits in full are shed")
	}
	p.router.SetAdmission(0, nil)
	if admittedShare(requestOnce(p, 100, classAny)) != 1 {
		t.Error("requests are shed without a plan")
	}
}

// Retries of a client do not defeat the plan, but clients are drawn anew over time so that none is refused for
// good.
func TestAdmissionDecisionIsStableThenRedrawn(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 4)
	setPlan(p, 0.5)
	first := requestOnce(p, 400, classAny)
	same, admittedClients := 0, 0
	for range 5 {
		p.advance(20 * ms)
		for i, x := range requestOnce(p, 400, classAny) {
			if x == first[i] {
				same++
			}
		}
	}
	if same < 5*400*97/100 { // a few are drawn anew in this time
		t.Errorf("%d of 2000 retries had the result of the first try", same)
	}
	admitted := make([]bool, 400)
	for range 12 {
		p.now += redrawInterval
		p.advance(10 * ms)
		for i, x := range requestOnce(p, 400, classAny) {
			admitted[i] = admitted[i] || !x
		}
	}
	for _, x := range admitted {
		if x {
			admittedClients++
		}
	}
	if admittedClients < 395 {
		t.Errorf("%d of 400 clients were admitted within three minutes", admittedClients)
	}
}

// A client that sends most of the traffic is admitted for a part of its requests, since otherwise it would be
// admitted or refused as a whole.
func TestHeavyClientIsAdmittedInPart(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 4)
	setPlan(p, 0.5)
	admitted, n := 0, 0
	for range 1200 {
		p.advance(10 * ms)
		if p.router.admits(p.now, &Request{Class: classAny, ClientKey: 42}, p.router.groups[0]) {
			admitted++
		}
		n++
	}
	if part := float64(admitted) / float64(n); part < 0.3 || part > 0.7 {
		t.Errorf("%.2f of its requests were admitted, want about half", part)
	}
}

func TestRetriesBehindARefusalAreNoNewDemand(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 4)
	setPlan(p, 0)
	var stats GroupStats
	p.router.GroupStats(p.now, 0, &stats)
	for range 5 {
		requestOnce(p, 200, classAny)
		p.now += 50 * ms
	}
	p.router.GroupStats(p.now, 0, &stats)
	// The table of refusals is small: some entries are displaced by others and count again.
	if c := stats.Classes[classAny]; c.Offered+c.Retries != 1000 || c.Offered > 650 || c.Shed > c.Offered {
		t.Errorf("%+v", c)
	}
}

// The hint of a shed request is within what clients respect, and spread over time.
func TestRetryAfterOfShedRequestsIsSpread(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 4)
	setPlan(p, 0)
	for i := range 100 {
		p.nextID++
		p.router.Request(p.now, Request{ID: p.nextID, Class: classAny, ClientKey: uint64(i + 1), Deadline: p.now + 8*time.Second})
	}
	seen := map[time.Duration]bool{}
	for id, answer := range p.finals {
		if hint := p.hints[id]; answer != "refused" || hint < 200*ms || hint > min(600*ms, p.router.cfg.MaxRetryAfter) {
			t.Fatalf("%s, hint %v", answer, hint)
		} else {
			seen[hint] = true
		}
	}
	if len(seen) < 50 {
		t.Errorf("%d different hints for 100 refusals", len(seen))
	}
}

func TestPlanForbidsRetries(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 4)
	plan := make([]Admission, len(p.router.cfg.Classes))
	for i := range plan {
		plan[i] = Admission{Share: 1, NoRetries: true}
	}
	p.router.SetAdmission(0, plan)
	id := p.request(classAny, 0)
	p.finishAttempt(p.mustSend(id), Rejected)
	p.wantFinal(id, "refused")
	if p.sendCount(id) != 1 {
		t.Errorf("%d attempts", p.sendCount(id))
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
