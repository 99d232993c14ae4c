// Package console answers the administrators' console: SHOW LEVELS and the like, as ordinary result sets, as PgBouncer's
// admin console does. It makes tables from what state tells at that moment; who is asked, and over what connection, is
// package net's business. It changes nothing.
package console

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"havenproxy/internal/state"
)

// DatabaseName is the name that leads to the console.
const DatabaseName = "havenproxy"

// Table is a result set.
type Table struct {
	Columns []string
	Rows    [][]string
}

func (t *Table) add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		switch v := v.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.3f", v)
		case time.Duration:
			row[i] = fmt.Sprintf("%.1f", v.Seconds())
		default:
			row[i] = fmt.Sprint(v)
		}
	}
	t.Rows = append(t.Rows, row)
}

// Client is a client's connection.
type Client struct {
	Address      string
	State        string
	InState      time.Duration // how long it has been so
	Pending      int           // requests under way
	PartialBytes int           // of a query that has come in part
}

// Source is what the tables are made of.
type Source interface {
	Front() *state.Engine
	// Clients gives the connections, at most so many; all counts them.
	Clients(most int) (list []Client, all int)
	// Tier tells what is known of the tier; false = there is none.
	Tier() (Tier, bool)
}

// Tier is what a proxy knows of the tier that it belongs to.
type Tier struct {
	Policy, Member       uint64
	Planner              string        // that is spoken to; empty = none
	LeaseLeft            time.Duration // what is left of it
	UsesLeases           bool          // there are any
	Ready, HoldsRequests bool
	JoinError            string // why it could not join, as last told
}

type view struct {
	help string
	make func(Source) Table
}

var views = map[string]view{
	"LEVELS":     {"levels of reduced service: one row a group", levelsTable},
	"CLASSES":    {"classes of request, with what became of their requests since the start", classesTable},
	"DATABASES":  {"databases as the router sees them", databasesTable},
	"POOLS":      {"connections to databases", poolsTable},
	"CLIENTS":    {"clients' connections, 500 at most", clientsTable},
	"COUNTERS":   {"all counters since the start", countersTable},
	"SWITCHES":   {"groups and their primaries, and the last switches", switchesTable},
	"MEMBERS":    {"who is a member and why, with all that is known and from whom; where catalogues are merged", membersTable},
	"CATALOGUES": {"the catalogues that are merged", cataloguesTable},
	"POLICY":     {"the tier's policy here: its number, and whether requests are taken under it", policyTable},
	"TIER":       {"this proxy's place in its tier: planner, lease, membership", tierTable},
	"HISTORY":    {"the last changes of level, the newest first", historyTable},
}

// Commands are the words behind SHOW, in order.
func Commands() []string {
	out := []string{"HELP"}
	for name := range views {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Execute gives the table that a statement asks for. The error tells what is known instead.
func Execute(text string, s Source) (Table, error) {
	words := strings.Fields(strings.Trim(strings.ToUpper(text), " \t\r\n;"))
	if len(words) == 2 && words[0] == "SHOW" {
		if words[1] == "HELP" {
			return help(), nil
		}
		if v, ok := views[words[1]]; ok {
			return v.make(s), nil
		}
	}
	return Table{}, fmt.Errorf("the console knows SHOW %s; SHOW HELP tells more", strings.Join(Commands(), ", SHOW "))
}

func help() Table {
	t := Table{Columns: []string{"command", "shows"}}
	for _, name := range Commands() {
		if v, ok := views[name]; ok {
			t.add("SHOW "+name, v.help)
		} else {
			t.add("SHOW "+name, "this")
		}
	}
	return t
}

func levelsTable(s Source) Table {
	t := Table{Columns: []string{"group", "level", "number", "since_s", "pressure", "admits", "offered", "capacity", "lost", "changes_1m", "dwell_s", "frozen", "why", "to_leave"}}
	f := s.Front()
	now, classes := f.Now(), f.Classes()
	highest, at := -1, state.GroupLevel{}
	for _, l := range f.Levels() {
		if l.Level > highest {
			highest, at = l.Level, l
		}
		var admits []string
		for i, share := range l.AdmittedShares {
			if share < 1 {
				admits = append(admits, fmt.Sprintf("%s=%.2f", classes[i].Name, share))
			}
		}
		t.add(l.Group, l.Name, l.Level, now-l.Since, l.Pressure, or(strings.Join(admits, " "), "all"), l.OfferedWork, l.Capacity, l.LostShare, l.RecentChanges, l.Dwell, or(l.FrozenReason, "-"), l.Reason, l.ExitCondition)
	}
	if highest >= 0 {
		t.add("all", at.Name, at.Level, now-at.Since, at.Pressure, "-", 0.0, 0.0, 0.0, 0, time.Duration(0), "-", fmt.Sprintf("the highest level, that of group %d", at.Group), "-")
	}
	return t
}

func or(s, otherwise string) string {
	if s == "" {
		return otherwise
	}
	return s
}

func classesTable(s Source) Table {
	t := Table{Columns: []string{"class", "reads", "worth", "aim_ms", "limit_ms", "taken", "served", "refused", "failed", "abandoned"}}
	for _, c := range s.Front().Classes() {
		t.add(c.Name, c.ReadMode, c.Worth, c.Aim.Milliseconds(), c.Limit.Milliseconds(), c.Received, c.Served, c.Refused, c.Failed, c.Abandoned)
	}
	return t
}

func databasesTable(s Source) Table {
	t := Table{Columns: []string{"name", "address", "group", "listed", "role", "health", "out", "limit", "strain", "ping_ms", "behind_ms"}}
	for _, d := range s.Front().Databases() {
		behind := "-"
		if d.PositionAge >= 0 {
			behind = fmt.Sprint(d.PositionAge.Milliseconds())
		}
		t.add(d.Name, d.Address, d.Group, d.State, d.Role, d.Health, d.InFlight, d.Limit, d.LatencyRatio, float64(d.Ping.Microseconds())/1e3, behind)
	}
	return t
}

func switchesTable(s Source) Table {
	t := Table{Columns: []string{"group", "phase", "for_s", "cause", "from", "to", "rivals", "held", "refused", "held_bytes", "expected_s"}}
	for _, x := range s.Front().Switches() {
		t.add(x.Group, x.Phase, x.Duration, x.Cause, x.OldPrimary, x.NewPrimary, x.Rivals, x.HeldRequests, x.RefusedRequests, x.HeldBytes, x.ExpectedRemaining)
	}
	return t
}

func membersTable(s Source) Table {
	t := Table{Columns: []string{"name", "address", "group", "zone", "state", "hint", "why", "known"}}
	for _, e := range s.Front().MergedMembers() {
		var known []string
		for _, k := range e.Evidence {
			known = append(known, fmt.Sprintf("%s: %s for %.1f s (%.2f)", k.Source, k.Claim, k.Age.Seconds(), k.Confidence))
		}
		t.add(e.ID, e.Address, e.Group, e.Zone, e.State.String(), or(e.Role.String(), "-"), e.Reason, strings.Join(known, "; "))
	}
	if !s.Front().MergesCatalogues() { // the platform's list stands alone
		for _, d := range s.Front().Databases() {
			t.add(d.Name, d.Address, d.Group, "-", d.State, "-", state.DiscoveryCatalogue+" lists it", "-")
		}
	}
	return t
}

func cataloguesTable(s Source) Table {
	t := Table{Columns: []string{"name", "members", "index", "heard_s", "behind_s", "failures", "doubted", "doubts", "damped", "skipped", "last_error"}}
	for _, c := range s.Front().Catalogues() {
		heard := "never"
		if c.SinceContact >= 0 {
			heard = fmt.Sprintf("%.1f", c.SinceContact.Seconds())
		}
		t.add(c.Name, c.Members, c.Index, heard, c.Lag, c.Failures, c.Doubted, c.DoubtCount, c.Suppressed, c.Skipped, or(c.LastError, "-"))
	}
	if f := s.Front(); !f.MergesCatalogues() {
		t.add(state.DiscoveryCatalogue, len(f.Databases()), "-", "-", time.Duration(0), f.Counters.ListFailures, false, 0, 0, 0, "-")
	}
	return t
}

func policyTable(s Source) Table {
	t := Table{Columns: []string{"number", "requests", "kept_now", "kept", "refused_without"}}
	f := s.Front()
	if x, ok := s.Tier(); ok {
		how := "refused"
		switch {
		case x.HoldsRequests:
			how = "wait"
		case x.Ready:
			how = "taken"
		}
		t.add(x.Policy, how, f.GateQueueLength(), f.Counters.GateQueued, f.Counters.GateRefused)
	} else {
		t.add(or(f.Revision(), "-"), "taken, by the proxy's own files", 0, uint64(0), uint64(0))
	}
	return t
}

func tierTable(s Source) Table {
	t := Table{Columns: []string{"member", "planner", "lease_s", "why_not"}}
	if x, ok := s.Tier(); ok {
		lease := "-"
		if x.UsesLeases {
			lease = fmt.Sprintf("%.1f", max(x.LeaseLeft.Seconds(), 0))
		}
		t.add(x.Member, or(x.Planner, "none"), lease, or(x.JoinError, "-"))
	} else {
		t.add("-", "-", "-", "no tier() in the operator's file")
	}
	return t
}

func poolsTable(s Source) Table {
	t := Table{Columns: []string{"name", "address", "busy", "idle", "opening", "probe"}}
	for _, p := range s.Front().Pools() {
		t.add(p.Name, p.Address, p.Busy, p.Idle, p.Opening, p.Probe)
	}
	return t
}

// mostClients bounds the rows of SHOW CLIENTS.
const mostClients = 500

func clientsTable(s Source) Table {
	t := Table{Columns: []string{"address", "state", "since_s", "waiting", "part_bytes"}}
	list, all := s.Clients(mostClients)
	for _, c := range list {
		t.add(c.Address, c.State, c.InState, c.Pending, c.PartialBytes)
	}
	if left := all - len(list); left > 0 {
		t.add(fmt.Sprintf("and %d more", left), "-", time.Duration(0), 0, 0)
	}
	return t
}

func countersTable(s Source) Table {
	t := Table{Columns: []string{"name", "value"}}
	if x, ok := s.Tier(); ok {
		t.add("policy", x.Policy)
	}
	for _, a := range s.Front().Counters.LogValue().Group() {
		t.add(a.Key, a.Value.String())
	}
	return t
}

func historyTable(s Source) Table {
	t := Table{Columns: []string{"at", "group", "from", "to", "reason"}}
	all := s.Front().LevelHistory()
	for i := len(all) - 1; i >= 0; i-- {
		c := all[i]
		t.add(time.Unix(0, int64(c.At)).UTC().Format("2006-01-02 15:04:05.000"), c.Group, c.From, c.To, c.Reason)
	}
	return t
}
