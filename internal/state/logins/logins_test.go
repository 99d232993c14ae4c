package logins

import (
	"strconv"
	"testing"
	"time"
)

func TestRepeatedFailuresWaitLonger(t *testing.T) {
	g := New(Config{FreeFailures: 3, FirstWait: time.Second, MaxWait: 8 * time.Second, ForgetAfter: time.Minute})
	who, now := Login{"10.0.0.1", "a"}, time.Duration(0)
	for range 3 {
		now += time.Millisecond
		if _, ok := g.Allow(now, who); !ok {
			t.Fatal("an attempt before the first wait was refused")
		}
		g.Failed(now, who)
	}
	if _, ok := g.Allow(now, who); !ok {
		t.Fatal("an attempt after three failures was refused")
	}
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		g.Failed(now, who)
		wait, ok := g.Allow(now, who)
		if ok || wait != want*time.Second {
			t.Fatalf("waits %v, want %d s", wait, want)
		}
		if again, _ := g.Allow(now, who); again != wait {
			t.Fatal("an early attempt extends the wait")
		}
		if _, ok := g.Allow(now, Login{"10.0.0.1", "b"}); !ok {
			t.Fatal("another user of the host is locked out")
		}
		if _, ok := g.Allow(now, Login{"10.0.0.2", "a"}); !ok {
			t.Fatal("another host is locked out")
		}
		if now += wait; wait > 0 {
			if _, ok := g.Allow(now, who); !ok {
				t.Fatal("refused after the wait")
			}
		}
	}
	if _, ok := g.Allow(now+time.Minute, who); !ok || g.Len() != 0 {
		t.Fatal("failures are not forgotten")
	}
}

func TestSuccessClearsFailures(t *testing.T) {
	g := New(Config{FreeFailures: 1})
	who := Login{"p", "u"}
	g.Failed(1, who)
	g.Succeeded(who)
	g.Failed(2, who)
	if _, ok := g.Allow(3, who); !ok {
		t.Fatal("failures before the correct password still count")
	}
}

// Invented user names take a bounded amount of memory.
func TestRecordsBounded(t *testing.T) {
	g := New(Config{MaxPeers: 10, FreeFailures: 1})
	for i := range 1000 {
		g.Failed(time.Duration(i), Login{"p", strconv.Itoa(i)})
	}
	if g.Len() != 10 {
		t.Fatal(g.Len())
	}
}

func TestConcurrentChecksBounded(t *testing.T) {
	g := New(Config{MaxChecks: 5, MaxChecksPerPeer: 2})
	for i, want := range []bool{true, true, false} {
		if g.StartCheck("a") != want {
			t.Fatalf("check %d of one peer: allowed is %v, want %v", i, !want, want)
		}
	}
	if !g.StartCheck("b") || !g.StartCheck("c") || !g.StartCheck("d") || g.StartCheck("e") {
		t.Fatal("the limit of five concurrent checks is not kept")
	}
	g.EndCheck("a")
	if !g.StartCheck("e") || g.StartCheck("a") {
		t.Fatal("an ended check allows other than one new one")
	}
}
