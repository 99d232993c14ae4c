package logic

import "testing"

// Open requests continue under the rules in force when they arrived; new requests follow the new rules.
func TestOpenRequestsKeepTheirRules(t *testing.T) {
	f := newReadyProxy(t, testConfig(), 4)
	old := f.request(classGuarded, 1)
	s := f.mustSend(old)
	next := append([]Class(nil), f.router.cfg.Classes[:classGuarded]...)
	changed := f.router.cfg.Classes[classGuarded]
	changed.Effect, changed.DedupWindow = SingleShot, 0
	next = append(next, changed)
	at := f.router.Reload(next, 1, true, 0)
	for i := range classGuarded {
		if at[i] != i {
			t.Errorf("unchanged class %d got index %d", i, at[i])
		}
	}
	if at[classGuarded] != len(testConfig().Classes) {
		t.Fatalf("a class with a changed effect got index %d", at[classGuarded])
	}
	f.finishAttempt(s, Failed)
	if f.sendCount(old) != 2 {
		t.Error("an open request was not retried although its rules allow it")
	}
	id := f.request(at[classGuarded], 1)
	f.finishAttempt(f.mustSend(id), Failed)
	if f.sendCount(id) != 1 {
		t.Error("a single-shot request was sent again")
	}
	id = f.request(classBounded, 2)
	f.finishAttempt(f.mustSend(id), Failed)
	f.wantFinal(id, "refused")
	if f.sendCount(id) != 1 {
		t.Error("more attempts than now allowed")
	}
}
