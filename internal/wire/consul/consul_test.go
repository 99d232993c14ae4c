package consul

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"havenproxy/internal/membership"
)

func TestPaths(t *testing.T) {
	for want, q := range map[string]Query{
		"/v1/health/service/db":                                  {Service: "db"},
		"/v1/health/service/a%2Fb?dc=dc2&stale=":                 {Service: "a/b", Datacenter: "dc2", Consistency: Stale},
		"/v1/health/service/db?consistent=&index=7&wait=30000ms": {Service: "db", Consistency: Consistent, Index: 7, Wait: 30 * time.Second},
		"/v1/health/service/db?filter=Service.Meta.env+%3D%3D+x": {Service: "db", Filter: "Service.Meta.env == x"},
	} {
		if got := q.Path(); got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

func TestMeta(t *testing.T) {
	h := http.Header{"X-Consul-Index": {"42"}, "X-Consul-Lastcontact": {"1500"}, "X-Consul-Knownleader": {"false"}}
	if m, err := ParseResponseMeta(h); err != nil || m != (ResponseMeta{42, 1500 * time.Millisecond, true}) {
		t.Errorf("%+v, %v", m, err)
	}
	if m, err := ParseResponseMeta(http.Header{"X-Consul-Index": {"0"}}); err != nil || m.Index != 1 {
		t.Errorf("%+v, %v", m, err)
	}
	for _, bad := range []http.Header{{}, {"X-Consul-Index": {"-1"}}, {"X-Consul-Index": {"1"}, "X-Consul-Lastcontact": {"soon"}}} {
		if _, err := ParseResponseMeta(bad); err == nil {
			t.Errorf("%v passed", bad)
		}
	}
}

// entry is an instance as Consul 1.x prints it, with much that is of no use here.
const entry = `{"Node":{"ID":"40e4a748","Node":"foobar","Address":"10.1.10.12","Datacenter":"dc1","TaggedAddresses":{"lan":"10.1.10.12"},"Meta":{"zone":"north"}},
 "Service":{"ID":"db-1","Service":"db","Tags":["v9","master"],"Address":"","Meta":{"group":"3","started":"1700000000"},"Port":5432,"Weights":{"Passing":10,"Warning":1},"Namespace":"default"},
 "Checks":[{"Node":"foobar","CheckID":"serfHealth","Name":"Serf Health Status","Status":"passing","Output":"","ServiceTags":[]},{"CheckID":"service:db","Status":"warning"}]}`

func decode(text string, l Limits) (list []Instance, err error) {
	err = Decode(strings.NewReader(text), l, func(i *Instance) { list = append(list, *i) })
	return list, err
}

func TestAnEntryIsAFact(t *testing.T) {
	list, err := decode("["+entry+"]", Limits{})
	if err != nil || len(list) != 1 {
		t.Fatal(list, err)
	}
	m := Mapping{}.WithDefaults()
	f, err := m.Listing(&list[0])
	want := membership.Listing{ID: "db-1", Address: "10.1.10.12:5432", Zone: "north", Group: 3, Health: membership.Warning, Role: membership.Primary, Weight: 10,
		Started: 1700000000 * time.Second}
	if err != nil || f != want {
		t.Errorf("%+v, %v", f, err)
	}
	change := func(old, new string) (membership.Listing, error) {
		list, err := decode("["+strings.Replace(entry, old, new, 1)+"]", Limits{})
		if err != nil {
			t.Fatal(err)
		}
		return m.Listing(&list[0])
	}
	for _, x := range []struct {
		old, new string
		want     membership.Health
	}{
		{`"Status":"passing"`, `"Status":"critical"`, membership.Critical},
		{`"CheckID":"serfHealth"`, `"CheckID":"_node_maintenance"`, membership.Maintenance},
		{`"CheckID":"service:db"`, `"CheckID":"_service_maintenance:db-1"`, membership.Maintenance},
		{`"v9"`, `"Draining"`, membership.Draining},
		{`"group":"3"`, `"draining":"true"`, membership.Draining},
	} {
		if f, err := change(x.old, x.new); err != nil || f.Health != x.want {
			t.Errorf("%s: %v, %v", x.new, f.Health, err)
		}
	}
	if f, err := change(`"1700000000"`, `"1700000000123"`); err != nil || f.Started != 1700000000123*time.Millisecond {
		t.Errorf("milliseconds: %v, %v", f.Started, err)
	}
	if f, err := change(`"group":"3"`, `"role":"REPLICA"`); err != nil || f.Role != membership.Replica || f.Group != 0 {
		t.Errorf("%+v, %v", f, err)
	}
	for old, new := range map[string]string{`"10.1.10.12","Datacenter"`: `"db1.example","Datacenter"`, "5432": "0", `"3"`: `"three"`, `"ID":"db-1"`: `"ID":""`} {
		if f, err := change(old, new); err == nil {
			t.Errorf("%s passed: %+v", new, f)
		}
	}
}

// Nothing of an answer counts that is cut anywhere; what isn't a list is an error, and null is an empty one.
func TestAnswersInAnyCuts(t *testing.T) {
	whole := "[" + entry + "," + entry + "]"
	for n := range whole {
		if list, err := decode(whole[:n], Limits{}); err == nil {
			t.Fatalf("cut at %d of %d: %d instances, no error", n, len(whole), len(list))
		}
	}
	var list []Instance
	if err := Decode(iotest.OneByteReader(strings.NewReader(whole)), Limits{}, func(i *Instance) { list = append(list, *i) }); err != nil || len(list) != 2 {
		t.Error(len(list), err)
	}
	if list, err := decode("null", Limits{}); err != nil || len(list) != 0 {
		t.Error(list, err)
	}
	for _, bad := range []string{"", "{}", "7", "[7]", "[{}", `[{"Service":{"Port":"x"}}]`, "No cluster leader"} {
		if _, err := decode(bad, Limits{}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// endless is a list that never ends.
type endless struct{ read int }

func (e *endless) Read(b []byte) (int, error) {
	const part = `{"Service":{"ID":"x"}},`
	if e.read == 0 {
		e.read = copy(b[:1], "[")
		return e.read, nil
	}
	n := 0
	for ; n < len(b); n++ { // whatever the room, the text goes on where it was
		b[n] = part[(e.read-1+n)%len(part)]
	}
	e.read += n
	return n, nil
}

// 60 MB of JSON are given up at the bound, and never held as a whole.
func TestAnswersAreBounded(t *testing.T) {
	e := &endless{}
	n := 0
	err := Decode(e, Limits{MaxBytes: 1 << 20, MaxEntries: 1 << 30}, func(*Instance) { n++ })
	if !errors.Is(err, ErrTooLong) || e.read > 2<<20 || n > 60000 {
		t.Errorf("%v behind %d bytes and %d instances", err, e.read, n)
	}
	if err := Decode(&endless{}, Limits{MaxEntries: 100}, func(*Instance) {}); !errors.Is(err, ErrTooLong) || !strings.Contains(err.Error(), "100 instances") {
		t.Error(err)
	}
	one := `[{"Service":{"ID":"` + strings.Repeat("x", 60<<20) + `"}}]`
	if err := Decode(strings.NewReader(one), Limits{}, func(*Instance) {}); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
	if err := Decode(iotest.ErrReader(io.ErrUnexpectedEOF), Limits{}, nil); !errors.Is(err, ErrMalformed) {
		t.Error(err)
	}
}

func TestPace(t *testing.T) {
	p := &Pacer{Agents: 2, Rand: rand.New(rand.NewPCG(1, 1))}
	if p.Succeeded(time.Millisecond, 10, true) != 0 || p.Index() != 10 {
		t.Error("the first answer comes at once, and the next call waits for news")
	}
	// Answers at once without news: three, then no more than about one a second.
	quick, waited := 0, time.Duration(0)
	for range 13 {
		d := p.Succeeded(time.Millisecond, 10, false)
		if d == 0 {
			quick++
		}
		waited += d
	}
	if quick != 2 || waited < 8*time.Second {
		t.Errorf("%d calls in a tight loop, %v between the others", quick, waited)
	}
	if p.Succeeded(5*time.Second, 10, false) != 0 || p.Succeeded(time.Millisecond, 11, true) != 0 {
		t.Error("one that waits, or tells something new, is followed at once")
	}
	// An index that goes back begins anew, and is no reason to spin.
	if p.Succeeded(time.Millisecond, 3, true); p.Index() != 0 {
		t.Errorf("index %d behind one that went back", p.Index())
	}
	// Failures: the other agent soon, then longer and longer.
	var rounds []time.Duration
	for i := range 20 {
		before := p.Agent()
		d := p.Failed()
		if p.Agent() == before || p.Index() != 0 || i%2 == 0 && d > otherAgent*5/4+1 {
			t.Fatalf("failure %d: agent %d behind %d, index %d, pause %v", i, p.Agent(), before, p.Index(), d)
		}
		if i%2 == 1 {
			rounds = append(rounds, d)
		}
	}
	if rounds[0] > againMin*5/4+1 || rounds[9] < againMax*3/4 || rounds[9]+otherAgent*5/4 > 1700*time.Millisecond {
		t.Errorf("between rounds of agents: %v", rounds)
	}
	if p.Succeeded(time.Millisecond, 50, true) != 0 || p.Failed() > otherAgent*5/4+1 {
		t.Error("an answer ends the backing off")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("[" + entry + "]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m := Mapping{}.WithDefaults()
		Decode(bytes.NewReader(b), Limits{}, func(i *Instance) {
			if fact, err := m.Listing(i); err == nil && (fact.ID == "" || fact.Address == "") {
				t.Fatal(fmt.Sprint(fact))
			}
		})
	})
}
