package logic

import "testing"

// Open requests continue under the rules in force when they arrived; new requests follow the new rules.
func TestOpenRequestsKeepTheirRules(t *testing.T) {
	p := newReadyProxy(t, testConfig(), 4)
	old := p.request(classGuarded, 1)
	s := p.mustSend(old)
	next := append([]Class(nil), p.router.cfg.Classes[:classGuarded]...)
	changed := p.router.cfg.Classes[classGuarded]
	changed.Effect, changed.DedupWindow = SingleShot, 0
	next = append(next, changed)
	at := p.router.Reload(next, 1, true, 0)
	for i := range classGuarded {
		if at[i] != i {
			t.Errorf("unchanged class %d got index %d", i, at[i])
		}
	}
	if at[classGuarded] != len(testConfig().Classes) {
		t.Fatalf("a class with a changed effect got index %d", at[classGuarded])
	}
	p.finishAttempt(s, Failed)
	if p.sendCount(old) != 2 {
		t.Error("an open request was not retried although its rules allow it")
	}
	id := p.request(at[classGuarded], 1)
	p.finishAttempt(p.mustSend(id), Failed)
	if p.sendCount(id) != 1 {
		t.Error("a single-shot request was sent again")
	}
	id = p.request(classBounded, 2)
	p.finishAttempt(p.mustSend(id), Failed)
	p.wantFinal(id, "refused")
	if p.sendCount(id) != 1 {
		t.Error("more attempts than now allowed")
	}
}
