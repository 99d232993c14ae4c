package scenario

import (
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/lab/fleet"
)

func TestTheScenariosThatShip(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/lab/*.star")
	if err != nil || len(files) < 5 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		if s, err := Read(f); err != nil || s.Rate(0) <= 0 {
			t.Errorf("%s: %v", f, err)
		}
	}
}

func TestAScenario(t *testing.T) {
	s, err := Parse("x.star", []byte(`
fleet(groups = 2, members = 3, election = ["1s", "2s"])
request_class("katalog", share = 0.5, aim_ms = 150)
traffic(demand = 0.5, shape = steps(at = {"0s": 1, "10s": 3}), length = "20s", retries = 2, honour_hint = True)
fault("crash", at = "12s", group = 1, member = 2, lasts = "4s")
fault("hang", at = "5s")
`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Faults[0].Kind != fleet.Hang || s.Faults[0].Member != fleet.Primary || s.Faults[1].Group != 1 || s.Faults[1].Member != 2 ||
		s.Classes[2].Share != 0.5 || s.Classes[2].Aim != 150*time.Millisecond || s.Fleet.Classes[2].Aim != 150*time.Millisecond ||
		s.Retry.Most != 2 || s.Fleet.Election.To != 2*time.Second {
		t.Errorf("%+v", s)
	}
	if a, b := s.Rate(time.Second), s.Rate(11*time.Second); math.Abs(b/a-3) > 1e-9 || math.Abs(a/s.Capacity()-0.5) > 1e-9 {
		t.Errorf("rates %v and %v of %v", a, b, s.Capacity())
	}
}

func TestBadScenariosNameEveryPlace(t *testing.T) {
	_, err := Parse("bad.star", []byte(`fleet(gruops = 2)
traffic(demand = "much", shape = 3, length = 20)
fault("crush", at = "5s")
fault("crash", group = 9)
request_class("katalok", share = 1)
`))
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{
		`bad.star:1:7: fleet has no setting "gruops" (did you mean "groups"?)`,
		`bad.star:2:9: demand is "much", a number`,
		`bad.star:2:26: shape is int, one of steady(), sine()`,
		`bad.star:2:37: length is 20, a duration with a unit was expected`,
		`bad.star:3:1: no fault "crush"`, `(did you mean "crash"?)`,
		`bad.star:4:16: group is 9, a whole number from 0 to 2`,
		`bad.star:5:1: no class "katalok" (did you mean "katalog"?)`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing: %s", want)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}
