// Package console implements the administrators' console: SHOW LEVELS and similar statements, answered as ordinary result sets, like
// PgBouncer's admin console. It builds tables from the current state and changes nothing. Package net handles the connections and
// decides who may use the console.
package console

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"havenproxy/internal/state"
)

// DatabaseName is the database name by which clients connect to the console.
const DatabaseName = "havenproxy"

// Table is a result set.
type Table struct {
	Columns []string
	Rows    [][]string
}

// add appends a row. Durations are formatted in seconds.
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

// Client describes the connection of a client.
type Client struct {
	Address      string
	State        string
	InState      time.Duration // how long it has been in this state
	Pending      int           // number of open requests
	PartialBytes int           // of a query received in part
}

// Source provides the data of the tables.
type Source interface {
	Engine() *state.Engine
	// Clients returns at most limit connections, and the number of all.
	Clients(limit int) (list []Client, total int)
	// Tier returns the state of the tier as known to this proxy; false = the proxy belongs to none.
	Tier() (Tier, bool)
}

// Tier is the state of a tier as known to one of its proxies.
type Tier struct {
	Policy, Member       uint64
	Planner              string        // address of the connected planner; empty = none
	LeaseLeft            time.Duration // remaining time of the lease
	UsesLeases           bool          // the tier uses leases
	Ready, HoldsRequests bool
	JoinError            string // the last reason why this proxy had to wait to join; empty = none
}

// tableCommand is a statement that shows a table.
type tableCommand struct {
	help  string
	build func(Source) Table
}

// tableCommands are the statements by the word that follows SHOW.
var tableCommands = map[string]tableCommand{
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

// TableNames returns the words that may follow SHOW, sorted.
func TableNames() []string {
	names := []string{"HELP"}
	for name := range tableCommands {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Execute returns the table that a statement requests. The error of an unknown statement lists the known ones.
func Execute(text string, s Source) (Table, error) {
	words := strings.Fields(strings.Trim(strings.ToUpper(text), " \t\r\n;"))
	if len(words) == 2 && words[0] == "SHOW" {
		if words[1] == "HELP" {
			return help(), nil
		}
		if v, ok := tableCommands[words[1]]; ok {
			return v.build(s), nil
		}
	}
	return Table{}, fmt.Errorf("the console knows SHOW %s; SHOW HELP tells more", strings.Join(TableNames(), ", SHOW "))
}

func help() Table {
	t := Table{Columns: []string{"command", "shows"}}
	for _, name := range TableNames() {
		if v, ok := tableCommands[name]; ok {
			t.add("SHOW "+name, v.help)
		} else {
			t.add("SHOW "+name, "this")
		}
	}
	return t
}

func levelsTable(s Source) Table {
	t := Table{Columns: []string{"group", "level", "number", "since_s", "pressure", "admits", "offered", "capacity", "lost", "changes_1m", "dwell_s", "frozen", "why", "to_leave"}}
	f := s.Engine()
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
		t.add(l.Group, l.Name, l.Level, now-l.Since, l.Pressure, orDefault(strings.Join(admits, " "), "all"), l.OfferedWork, l.Capacity, l.LostShare, l.RecentChanges, l.Dwell, orDefault(l.FrozenReason, "-"), l.Reason, l.ExitCondition)
	}
	if highest >= 0 {
		t.add("all", at.Name, at.Level, now-at.Since, at.Pressure, "-", 0.0, 0.0, 0.0, 0, time.Duration(0), "-", fmt.Sprintf("the highest level, that of group %d", at.Group), "-")
	}
	return t
}

func orDefault(s, defaultValue string) string {
	if s == "" {
		return defaultValue
	}
	return s
}

func classesTable(s Source) Table {
	t := Table{Columns: []string{"class", "reads", "worth", "aim_ms", "limit_ms", "taken", "served", "refused", "failed", "abandoned"}}
	for _, c := range s.Engine().Classes() {
		t.add(c.Name, c.ReadMode, c.Worth, c.Aim.Milliseconds(), c.Limit.Milliseconds(), c.Received, c.Served, c.Refused, c.Failed, c.Abandoned)
	}
	return t
}

func databasesTable(s Source) Table {
	t := Table{Columns: []string{"name", "address", "group", "listed", "role", "health", "out", "limit", "strain", "ping_ms", "behind_ms"}}
	for _, d := range s.Engine().Databases() {
		behind := "-"
		if d.PositionAge >= 0 {
			behind = fmt.Sprint(d.PositionAge.Milliseconds())
		}
		t.add(d.Name, d.Address, d.Group, d.State, d.Role, d.Health, d.InFlight, d.Limit, d.Strain, float64(d.Ping.Microseconds())/1e3, behind)
	}
	return t
}

func switchesTable(s Source) Table {
	t := Table{Columns: []string{"group", "phase", "for_s", "cause", "from", "to", "rivals", "held", "refused", "held_bytes", "expected_s"}}
	for _, x := range s.Engine().Switches() {
		t.add(x.Group, x.Phase, x.Duration, x.Cause, x.OldPrimary, x.NewPrimary, x.Rivals, x.HeldRequests, x.RefusedRequests, x.HeldBytes, x.ExpectedRemaining)
	}
	return t
}

func membersTable(s Source) Table {
	t := Table{Columns: []string{"name", "address", "group", "zone", "state", "hint", "why", "known"}}
	for _, e := range s.Engine().MergedMembers() {
		var known []string
		for _, k := range e.Evidence {
			known = append(known, fmt.Sprintf("%s: %s for %.1f s (%.2f)", k.Source, k.Claim, k.Age.Seconds(), k.Confidence))
		}
		t.add(e.ID, e.Address, e.Group, e.Zone, e.State.String(), orDefault(e.Role.String(), "-"), e.Reason, strings.Join(known, "; "))
	}
	if !s.Engine().MergesCatalogues() { // the platform's list is the only source
		for _, d := range s.Engine().Databases() {
			t.add(d.Name, d.Address, d.Group, "-", d.State, "-", state.DiscoveryCatalogue+" lists it", "-")
		}
	}
	return t
}

func cataloguesTable(s Source) Table {
	t := Table{Columns: []string{"name", "members", "index", "heard_s", "behind_s", "failures", "doubted", "doubts", "damped", "skipped", "last_error"}}
	for _, c := range s.Engine().Catalogues() {
		heard := "never"
		if c.SinceContact >= 0 {
			heard = fmt.Sprintf("%.1f", c.SinceContact.Seconds())
		}
		t.add(c.Name, c.Members, c.Index, heard, c.Lag, c.Failures, c.Doubted, c.DoubtCount, c.Suppressed, c.Skipped, orDefault(c.LastError, "-"))
	}
	if f := s.Engine(); !f.MergesCatalogues() {
		t.add(state.DiscoveryCatalogue, len(f.Databases()), "-", "-", time.Duration(0), f.Counters.ListFailures, false, 0, 0, 0, "-")
	}
	return t
}

func policyTable(s Source) Table {
	t := Table{Columns: []string{"number", "requests", "kept_now", "kept", "refused_without"}}
	f := s.Engine()
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
		t.add(orDefault(f.Revision(), "-"), "taken, by the proxy's own files", 0, uint64(0), uint64(0))
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
		t.add(x.Member, orDefault(x.Planner, "none"), lease, orDefault(x.JoinError, "-"))
	} else {
		t.add("-", "-", "-", "no tier() in the operator's file")
	}
	return t
}

func poolsTable(s Source) Table {
	t := Table{Columns: []string{"name", "address", "busy", "idle", "opening", "probe"}}
	for _, p := range s.Engine().Pools() {
		t.add(p.Name, p.Address, p.Busy, p.Idle, p.Opening, p.Probe)
	}
	return t
}

// maxClients limits the rows of SHOW CLIENTS.
const maxClients = 500

func clientsTable(s Source) Table {
	t := Table{Columns: []string{"address", "state", "since_s", "waiting", "part_bytes"}}
	list, total := s.Clients(maxClients)
	for _, c := range list {
		t.add(c.Address, c.State, c.InState, c.Pending, c.PartialBytes)
	}
	if omitted := total - len(list); omitted > 0 {
		t.add(fmt.Sprintf("and %d more", omitted), "-", time.Duration(0), 0, 0)
	}
	return t
}

func countersTable(s Source) Table {
	t := Table{Columns: []string{"name", "value"}}
	if x, ok := s.Tier(); ok {
		t.add("policy", x.Policy)
	}
	for _, a := range s.Engine().Counters.LogValue().Group() {
		t.add(a.Key, a.Value.String())
	}
	return t
}

func historyTable(s Source) Table {
	t := Table{Columns: []string{"at", "group", "from", "to", "reason"}}
	all := s.Engine().LevelHistory()
	for i := len(all) - 1; i >= 0; i-- {
		c := all[i]
		t.add(time.Unix(0, int64(c.At)).UTC().Format("2006-01-02 15:04:05.000"), c.Group, c.From, c.To, c.Reason)
	}
	return t
}
