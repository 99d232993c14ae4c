package logins

import (
	"strconv"
	"testing"
	"time"
)

func TestGuessingWaitsLongerEachTime(t *testing.T) {
	g := New(Config{Free: 3, Wait: time.Second, MostOf: 8 * time.Second, Fade: time.Minute})
	who, now := Who{"10.0.0.1", "a"}, time.Duration(0)
	for range 3 {
		now += time.Millisecond
		if _, ok := g.Try(now, who); !ok {
			t.Fatal("a free try was refused")
		}
		g.Failed(now, who)
	}
	if _, ok := g.Try(now, who); !ok {
		t.Fatal("three failures are free")
	}
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		g.Failed(now, who)
		wait, ok := g.Try(now, who)
		if ok || wait != want*time.Second {
			t.Fatalf("waits %v, want %d s", wait, want)
		}
		if again, _ := g.Try(now, who); again != wait {
			t.Fatal("an early try lengthens the wait")
		}
		if _, ok := g.Try(now, Who{"10.0.0.1", "b"}); !ok {
			t.Fatal("another user of the host is locked out")
		}
		if _, ok := g.Try(now, Who{"10.0.0.2", "a"}); !ok {
			t.Fatal("another host is locked out")
		}
		if now += wait; wait > 0 {
			if _, ok := g.Try(now, who); !ok {
				t.Fatal("refused behind its wait")
			}
		}
	}
	if _, ok := g.Try(now+time.Minute, who); !ok || g.Known() != 0 {
		t.Fatal("it is never forgotten")
	}
}

func TestARightPasswordClearsTheRecord(t *testing.T) {
	g := New(Config{Free: 1})
	who := Who{"p", "u"}
	g.Failed(1, who)
	g.Passed(who)
	g.Failed(2, who)
	if _, ok := g.Try(3, who); !ok {
		t.Fatal("what came before the right password counts still")
	}
}

// Names that somebody makes up take no more room than there is.
func TestPeersAreBounded(t *testing.T) {
	g := New(Config{Peers: 10, Free: 1})
	for i := range 1000 {
		g.Failed(time.Duration(i), Who{"p", strconv.Itoa(i)})
	}
	if g.Known() != 10 {
		t.Fatal(g.Known())
	}
}

func TestCostlyChecksAreBounded(t *testing.T) {
	g := New(Config{Checks: 5, PerPeer: 2})
	for i, want := range []bool{true, true, false} {
		if g.Check("a") != want {
			t.Fatalf("check %d of one peer: allowed is %v, want %v", i, !want, want)
		}
	}
	if !g.Check("b") || !g.Check("c") || !g.Check("d") || g.Check("e") {
		t.Fatal("five at once in all")
	}
	g.Checked("a")
	if !g.Check("e") || g.Check("a") {
		t.Fatal("the place that was freed is one")
	}
}
