package virtual

import (
	"testing"
	"time"

	"havenproxy/internal/lab/fleet"
)

const second = time.Second

// several gives some proxies before some groups, with traffic for each of them.
func several(proxies int) Config {
	c := Yard(5)
	c.Fleet.Groups, c.Proxies, c.For = 4, proxies, 8*second
	c.Rate = func(time.Duration) float64 { return 120 }
	c.Retries, c.RetryWait = 3, 20*time.Millisecond
	return c
}

func failed(r *Result) (n int) {
	for _, c := range r.Classes {
		n += c.Failed + c.Silent
	}
	return n
}

// What is lost with a proxy comes again at another one, and who comes later goes there at once; behind its start it serves again.
func TestClientsOfAProxyThatDiesGoElsewhere(t *testing.T) {
	c := several(6)
	c.Tier.Stops = []Stop{{At: 2 * second, Share: 0.5, For: 2 * second}}
	r := Play(c)
	if r.Stopped != 3 || failed(r) > 0 || r.Worth < 0.9 {
		t.Errorf("%d stopped, %d failed, worth %.3f", r.Stopped, failed(r), r.Worth)
	}
	c.Retries = 0
	if lost := failed(Play(c)); lost == 0 || lost > 30 {
		t.Errorf("%d lost without further tries: what three proxies had in hand was expected", lost)
	}
	c.Tier.Stops[0].Orderly, c.Fleet.Groups = true, 12
	c.Rate = func(time.Duration) float64 { return 700 } // there is always something in hand
	if r := Play(c); r.Stopped != 3 || failed(r) > 0 {
		t.Errorf("in good order: %d stopped, %d failed", r.Stopped, failed(r))
	}
}

// Datagrams come to all but the sender, fewer where they are lost, none while peers don't hear each other.
func TestPeersHearEachOtherAsFarAsTheyMay(t *testing.T) {
	c := several(60)
	c.Tier.Peers, c.Tier.Uneven = 31, 1
	all := Play(c)
	if all.Messages == 0 || all.Delivered != 59*all.Messages || all.Counters.PeerReceived != all.Delivered {
		t.Errorf("%d told, %d came, %d heard", all.Messages, all.Delivered, all.Counters.PeerReceived)
	}
	c.Tier.PeerLoss = 0.5
	if r := Play(c); r.Delivered > 35*r.Messages || r.Delivered < 24*r.Messages {
		t.Errorf("half are lost: %d told, %d came", r.Messages, r.Delivered)
	}
	c.Tier.PeerLoss, c.Tier.Mutes = 0, []Mute{{At: 0, For: 8 * second}}
	if r := Play(c); r.Delivered > all.Delivered/8 { // what was told in the quiet second before
		t.Errorf("mute: %d came", r.Delivered)
	}
	c.Tier.Mutes, c.Tier.Splits = nil, []Split{{At: -second, For: 20 * second, Zone: 0}}
	if r := Play(c); r.Delivered > 39*r.Messages || r.Delivered < 19*r.Messages { // 19 others in it, 39 outside
		t.Errorf("a zone of three is cut off: %d told, %d came", r.Messages, r.Delivered)
	}
}

// A zone that is cut off: its proxies reach the databases in it alone, and the others those outside.
func TestAZoneIsCutOff(t *testing.T) {
	c := several(6)
	whole := Play(c)
	c.Tier.Splits = []Split{{At: 2 * second, For: 3 * second, Zone: 0}}
	r := Play(c)
	if whole.Counters.TimedOut > 0 || r.Counters.TimedOut+r.Counters.Cancelled == 0 || r.Worth > whole.Worth-0.02 {
		t.Errorf("%d attempts timed out, %d without the cut; worth %.3f and %.3f", r.Counters.TimedOut, whole.Counters.TimedOut, r.Worth, whole.Worth)
	}
}

// A list's service that answers five calls a second lets those that come together wait, and turns away who would wait for over a second.
func TestTheListsServiceHasACapacity(t *testing.T) {
	c := several(40)
	c.Tier.ListCalls = 5
	r := Play(c)
	if r.Counters.ListFailures < 10 {
		t.Errorf("%d calls, %d failed", r.ListCalls, r.Counters.ListFailures)
	}
	c.Tier.ListCalls = 1000
	if r := Play(c); r.Counters.ListFailures > 0 {
		t.Errorf("%d calls, %d failed, with room for all", r.ListCalls, r.Counters.ListFailures)
	}
}

// A database that answers half of its requests with errors is seen, and the others serve.
func TestADatabaseThatErrs(t *testing.T) {
	c := several(1)
	c.Faults = []Fault{{At: second, Fault: fleet.Fault{Kind: fleet.Errors, Group: 0, Member: 1, For: 5 * second, Share: 0.5}}}
	r := Play(c)
	if r.Counters.Failures < 3 || r.Worth < 0.9 {
		t.Errorf("%d errors, worth %.3f", r.Counters.Failures, r.Worth)
	}
	c.Faults[0].Share = 0
	if r := Play(c); r.Counters.Failures > 0 {
		t.Errorf("%d errors of none", r.Counters.Failures)
	}
}

// Traffic is uneven as asked for: the first of a hundred proxies gets several times the mean, and all of it is served.
func TestTrafficIsUneven(t *testing.T) {
	w := &world{cfg: Config{Sessions: 300, Tier: Tier{Uneven: 2}}, nodes: make([]*node, 100)}
	count := make([]int, 100)
	for g := range 100 {
		for s := range 300 {
			count[w.home(g, s)]++
		}
	}
	if count[0] < 2500 || count[0] > 3500 || count[99] < 100 || count[99] > 200 { // 10 and 0.5 times the mean of 300
		t.Errorf("the first gets %d, the last %d of 30000", count[0], count[99])
	}
}
