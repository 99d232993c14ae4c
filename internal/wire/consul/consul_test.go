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
	for want, query := range map[string]Query{
		"/v1/health/service/db":                                  {Service: "db"},
		"/v1/health/service/a%2Fb?dc=dc2&stale=":                 {Service: "a/b", Datacenter: "dc2", Consistency: Stale},
		"/v1/health/service/db?consistent=&index=7&wait=30000ms": {Service: "db", Consistency: Consistent, Index: 7, Wait: 30 * time.Second},
		"/v1/health/service/db?filter=Service.Meta.env+%3D%3D+x": {Service: "db", Filter: "Service.Meta.env == x"},
	} {
		if got := query.Path(); got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

func TestResponseMeta(t *testing.T) {
	header := http.Header{"X-Consul-Index": {"42"}, "X-Consul-Lastcontact": {"1500"}, "X-Consul-Knownleader": {"false"}}
	if meta, err := ParseResponseMeta(header); err != nil || meta != (ResponseMeta{42, 1500 * time.Millisecond, true}) {
		t.Errorf("%+v, %v", meta, err)
	}
	if meta, err := ParseResponseMeta(http.Header{"X-Consul-Index": {"0"}}); err != nil || meta.Index != 1 {
		t.Errorf("%+v, %v", meta, err)
	}
	for _, bad := range []http.Header{{}, {"X-Consul-Index": {"-1"}}, {"X-Consul-Index": {"1"}, "X-Consul-Lastcontact": {"soon"}}} {
		if _, err := ParseResponseMeta(bad); err == nil {
			t.Errorf("%v was accepted", bad)
		}
	}
}

// entry is an instance as Consul 1.x prints it, including fields that are not used.
const entry = `{"Node":{"ID":"40e4a748","Node":"foobar","Address":"10.1.10.12","Datacenter":"dc1","TaggedAddresses":{"lan":"10.1.10.12"},"Meta":{"zone":"north"}},
 "Service":{"ID":"db-1","Service":"db","Tags":["v9","master"],"Address":"","Meta":{"group":"3","started":"1700000000"},"Port":5432,"Weights":{"Passing":10,"Warning":1},"Namespace":"default"},
 "Checks":[{"Node":"foobar","CheckID":"serfHealth","Name":"Serf Health Status","Status":"passing","Output":"","ServiceTags":[]},{"CheckID":"service:db","Status":"warning"}]}`

func decode(text string, limits Limits) (list []Instance, err error) {
	err = Decode(strings.NewReader(text), limits, func(i *Instance) { list = append(list, *i) })
	return list, err
}

func TestListing(t *testing.T) {
	list, err := decode("["+entry+"]", Limits{})
	if err != nil || len(list) != 1 {
		t.Fatal(list, err)
	}
	mapping := Mapping{}.WithDefaults()
	listing, err := mapping.Listing(&list[0])
	want := membership.Listing{ID: "db-1", Address: "10.1.10.12:5432", Zone: "north", Group: 3, Health: membership.Warning, Role: membership.Primary, Weight: 10,
		Started: 1700000000 * time.Second}
	if err != nil || listing != want {
		t.Errorf("%+v, %v", listing, err)
	}
	change := func(old, new string) (membership.Listing, error) {
		list, err := decode("["+strings.Replace(entry, old, new, 1)+"]", Limits{})
		if err != nil {
			t.Fatal(err)
		}
		return mapping.Listing(&list[0])
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
		if listing, err := change(x.old, x.new); err != nil || listing.Health != x.want {
			t.Errorf("%s: %v, %v", x.new, listing.Health, err)
		}
	}
	if listing, err := change(`"1700000000"`, `"1700000000123"`); err != nil || listing.Started != 1700000000123*time.Millisecond {
		t.Errorf("milliseconds: %v, %v", listing.Started, err)
	}
	if listing, err := change(`"group":"3"`, `"role":"REPLICA"`); err != nil || listing.Role != membership.Replica || listing.Group != 0 {
		t.Errorf("%+v, %v", listing, err)
	}
	for old, new := range map[string]string{`"10.1.10.12","Datacenter"`: `"db1.example","Datacenter"`, "5432": "0", `"3"`: `"three"`, `"ID":"db-1"`: `"ID":""`} {
		if listing, err := change(old, new); err == nil {
			t.Errorf("%s was accepted: %+v", new, listing)
		}
	}
}

// A truncated response is an error wherever it ends, and so is anything that is not a list; null is an empty list.
func TestTruncatedAndInvalidResponses(t *testing.T) {
	complete := "[" + entry + "," + entry + "]"
	for length := range complete {
		if list, err := decode(complete[:length], Limits{}); err == nil {
			t.Fatalf("cut at %d of %d: %d instances, no error", length, len(complete), len(list))
		}
	}
	var list []Instance
	if err := Decode(iotest.OneByteReader(strings.NewReader(complete)), Limits{}, func(i *Instance) { list = append(list, *i) }); err != nil || len(list) != 2 {
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

// endlessList is a list that never ends.
type endlessList struct{ bytesRead int }

func (e *endlessList) Read(b []byte) (int, error) {
	const part = `{"Service":{"ID":"x"}},`
	if e.bytesRead == 0 {
		e.bytesRead = copy(b[:1], "[")
		return e.bytesRead, nil
	}
	n := 0
	for ; n < len(b); n++ { // continues the text where the last call stopped
		b[n] = part[(e.bytesRead-1+n)%len(part)]
	}
	e.bytesRead += n
	return n, nil
}

// A response of 60 MB is rejected at the limit and never held in memory as a whole.
func TestResponsesAreLimited(t *testing.T) {
	list := &endlessList{}
	instances := 0
	err := Decode(list, Limits{MaxBytes: 1 << 20, MaxEntries: 1 << 30}, func(*Instance) { instances++ })
	if !errors.Is(err, ErrTooLong) || list.bytesRead > 2<<20 || instances > 60000 {
		t.Errorf("%v after %d bytes and %d instances", err, list.bytesRead, instances)
	}
	if err := Decode(&endlessList{}, Limits{MaxEntries: 100}, func(*Instance) {}); !errors.Is(err, ErrTooLong) || !strings.Contains(err.Error(), "100 instances") {
		t.Error(err)
	}
	longID := `[{"Service":{"ID":"` + strings.Repeat("x", 60<<20) + `"}}]`
	if err := Decode(strings.NewReader(longID), Limits{}, func(*Instance) {}); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
	if err := Decode(iotest.ErrReader(io.ErrUnexpectedEOF), Limits{}, nil); !errors.Is(err, ErrMalformed) {
		t.Error(err)
	}
}

func TestPacer(t *testing.T) {
	pacer := &Pacer{Agents: 2, Rand: rand.New(rand.NewPCG(1, 1))}
	if pacer.Succeeded(time.Millisecond, 10, true) != 0 || pacer.Index() != 10 {
		t.Error("the first response must be followed at once by a request with its index")
	}
	// After three fast responses without a change, about one request a second is sent.
	immediate, totalPause := 0, time.Duration(0)
	for range 13 {
		pause := pacer.Succeeded(time.Millisecond, 10, false)
		if pause == 0 {
			immediate++
		}
		totalPause += pause
	}
	if immediate != 2 || totalPause < 8*time.Second {
		t.Errorf("%d requests without a pause, %v between the others", immediate, totalPause)
	}
	if pacer.Succeeded(5*time.Second, 10, false) != 0 || pacer.Succeeded(time.Millisecond, 11, true) != 0 {
		t.Error("a response that took long or changed something must be followed at once")
	}
	// An index that goes back is reset, and does not cause a tight loop.
	if pacer.Succeeded(time.Millisecond, 3, true); pacer.Index() != 0 {
		t.Errorf("index %d after one that went back", pacer.Index())
	}
	// After a failure the other agent is tried soon; the pause after each round of agents grows.
	var roundPauses []time.Duration
	for i := range 20 {
		before := pacer.Agent()
		pause := pacer.Failed()
		if pacer.Agent() == before || pacer.Index() != 0 || i%2 == 0 && pause > nextAgentPause*5/4+1 {
			t.Fatalf("failure %d: agent %d after %d, index %d, pause %v", i, pacer.Agent(), before, pacer.Index(), pause)
		}
		if i%2 == 1 {
			roundPauses = append(roundPauses, pause)
		}
	}
	if roundPauses[0] > minRetryPause*5/4+1 || roundPauses[9] < maxRetryPause*3/4 || roundPauses[9]+nextAgentPause*5/4 > 1700*time.Millisecond {
		t.Errorf("between rounds of agents: %v", roundPauses)
	}
	if pacer.Succeeded(time.Millisecond, 50, true) != 0 || pacer.Failed() > nextAgentPause*5/4+1 {
		t.Error("a response must reset the backoff")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("[" + entry + "]"))
	f.Fuzz(func(t *testing.T, input []byte) {
		mapping := Mapping{}.WithDefaults()
		Decode(bytes.NewReader(input), Limits{}, func(instance *Instance) {
			if listing, err := mapping.Listing(instance); err == nil && (listing.ID == "" || listing.Address == "") {
				t.Fatal(fmt.Sprint(listing))
			}
		})
	})
}
