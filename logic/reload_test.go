package logic

import "testing"

// What is open goes on under the rules by which it was taken; what comes goes by the new ones.
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
			t.Errorf("class %d, which stays as it is, moves to %d", i, at[i])
		}
	}
	if at[classGuarded] != len(testConfig().Classes) {
		t.Fatalf("a class with another effect is class %d", at[classGuarded])
	}
	f.finishAttempt(s, Failed)
	if f.sendCount(old) != 2 {
		t.Error("an open request that may be repeated by its rules is not")
	}
	id := f.request(at[classGuarded], 1)
	f.finishAttempt(f.mustSend(id), Failed)
	if f.sendCount(id) != 1 {
		t.Error("a request that must not run twice is sent again")
	}
	id = f.request(classBounded, 2)
	f.finishAttempt(f.mustSend(id), Failed)
	f.wantFinal(id, "refused")
	if f.sendCount(id) != 1 {
		t.Error("more attempts than are allowed now")
	}
}
