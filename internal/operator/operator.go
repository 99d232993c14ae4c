// Package operator reads the operator's file: settings that the platform doesn't give, in Starlark, as one typed and
// checked value. A file is read against the deployment's classes, so that a name that doesn't exist is found at once.
// It does no more than read: who puts the value into effect is package run.
//
//	console(enabled = True)
//	levels(enabled = True, dwell = "5s")
//	level("lean", admit = {"browse": 0.5})
//	pin("lean", group = 2)
package operator

import (
	"math"
	"net"
	"net/netip"
	"net/url"
	"os"
	"time"

	"go.starlark.net/starlark"

	"havenproxy/internal/handover"
	"havenproxy/internal/levels"
	"havenproxy/internal/membership"
	"havenproxy/internal/operator/star"
	"havenproxy/internal/rollout"
	"havenproxy/internal/wire/consul"
	"havenproxy/logic"
)

// File is the operator's file. Its zero value is what holds without one.
type File struct {
	Console Console
	// Levels of reduced service; nil = off.
	Levels *levels.Config
	MySQL  *MySQL // nil = off
	// Handover says what is held while a group has no primary; the zero value holds nothing.
	Handover handover.Config
	// Tuning is what is routed otherwise than by default.
	Tuning logic.Tuning
	Trace  *Trace  // nil = none is kept
	Consul *Consul // nil = none is watched
	Tier   *Tier   // nil = the proxy goes by its own files
	// Revision is the number that the operator gives this file, where no tier numbers policies.
	Revision Revision
	// Members says how catalogues are merged, where there are several.
	Members membership.Config
}

// Tier is one policy for all proxies, kept by planners.
type Tier struct {
	Name        string // of this proxy; empty = as in the configuration
	Planners    []string
	Rollout     rollout.Config
	TellClients bool // answers tell clients the policy's number
	// ChecksPerSecond is how many health checks a second this proxy may send, and ReportBytesPerSecond how many bytes for reports on them: where it would
	// need more, the tier's proxies check on behalf of one another. 0 = there is no budget, and each proxy checks all.
	ChecksPerSecond, ReportBytesPerSecond float64
}

// Revision tells which file a proxy runs.
type Revision struct {
	Number      uint64 // 0 = none was given
	TellClients bool   // answers tell clients
}

// Consul is a catalogue beside the platform's list, or in its place.
type Consul struct {
	Agents                    []string       // base URLs
	Services                  map[string]int // with the group of each, where its instances don't tell
	TokenFile                 string
	Datacenters               []string
	Filter                    string
	Consistency               consul.Consistency
	WaitTime                  time.Duration
	CAFile, CertFile, KeyFile string
	Exclusive                 bool // the platform's list has no word
	Mapping                   consul.Mapping
}

// Trace is a file of what clients ask.
type Trace struct {
	File       string
	SampleRate float64
	MaxBytes   int64  // bytes
	SaltFile   string // that holds the secret of the hashes; empty = a new one at each start
}

// MySQL is a second front, for clients and databases that speak MySQL.
type MySQL struct {
	Listen       string
	Groups       map[int]bool      // whose databases speak MySQL; nil = all
	Users        map[string]string // clients' users with their passwords' hashes; none = anyone, without a password
	ServerUser   string            // by which databases are entered
	PasswordFile string            // that holds this user's password; empty = it has none
}

// Console is the administrators' console.
type Console struct {
	Enabled bool // for clients on loopback that connect to the database "havenproxy"
}

// Read reads a file for a deployment with these classes. The error names all that is wrong, a line each.
func Read(path string, classes []levels.Class) (*File, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src, classes)
}

// Parse reads a file's text.
func Parse(name string, src []byte, classes []levels.Class) (*File, error) {
	p := &parser{classes: classes, pins: map[logic.GroupID]string{}, caps: map[logic.GroupID]string{}}
	for _, c := range classes {
		p.classNames = append(p.classNames, c.Name)
	}
	if err := star.Exec(name, src, map[string]star.Func{
		"console": p.console, "levels": p.levels, "level": p.level, "mysql": p.mysql, "handover": p.handover, "routing": p.routing, "trace": p.trace, "consul": p.consul, "members": p.members, "tier": p.tier, "revision": p.revision,
		"pin": func(c *star.Call) starlark.Value { return p.hold(c, p.pins) },
		"cap": func(c *star.Call) starlark.Value { return p.hold(c, p.caps) },
	}, p.names); err != nil {
		return nil, err
	}
	return &p.file, p.finish()
}

type parser struct {
	file       File
	classes    []levels.Class
	classNames []string
	enabled    bool
	called     bool
	handed     bool
	routed     bool
	cfg        levels.Config
	ladder     []levels.Level
	pins, caps map[logic.GroupID]string
	holds      []*star.Call
	revised    *star.Call
}

func (p *parser) console(c *star.Call) starlark.Value {
	p.file.Console.Enabled = c.Bool("enabled", true)
	return nil
}

// routing reads what is routed otherwise than by default.
func (p *parser) routing(c *star.Call) starlark.Value {
	if p.routed {
		c.Errorf("", "routing() is called a second time")
	}
	p.routed = true
	p.file.Tuning.PingWindow = c.Duration("ping_window", 0, 100*time.Microsecond, time.Second)
	p.file.Tuning.FirstLimit = c.Float("first_limit", 0, 1, 1e4)
	return nil
}

// revision reads the file's number.
func (p *parser) revision(c *star.Call) starlark.Value {
	if p.file.Revision.Number > 0 {
		c.Errorf("", "revision() is called a second time")
	}
	p.file.Revision = Revision{Number: uint64(c.Int("number", 0, 1, 1<<31-1)), TellClients: c.Bool("tell_clients", false)}
	if p.revised = c; p.file.Revision.Number == 0 && !c.Has("number") {
		c.Errorf("", "number is missing: the number of this file, 1 or more")
	}
	return nil
}

// tier reads who the planners are.
func (p *parser) tier(c *star.Call) starlark.Value {
	if p.file.Tier != nil {
		c.Errorf("", "tier() is called a second time")
	}
	t := &Tier{Name: c.String("name", ""), TellClients: c.Bool("tell_clients", false)}
	t.ChecksPerSecond, t.ReportBytesPerSecond = c.Float("checks", 0, 0, 1000), c.Float("report_bytes", 1600, 200, 1e6)
	if c.Has("report_bytes") && t.ChecksPerSecond == 0 {
		c.Errorf("report_bytes", "report_bytes goes with checks: without a budget of checks nothing is reported")
	}
	c.List("planners", func(v starlark.Value) {
		address, ok := starlark.AsString(v)
		if _, err := netip.ParseAddrPort(address); !ok || err != nil {
			c.Errorf("planners", "planners holds %s, addresses such as \"10.0.0.21:7400\" were expected", v)
			return
		}
		t.Planners = append(t.Planners, address)
	})
	if len(t.Planners) == 0 {
		c.Errorf("planners", "no planners are named")
	}
	switch c.Choice("cut_off", "stop", "stop", "go on") {
	case "stop":
		t.Rollout.Lease = c.Duration("lease", 2*time.Second, 200*time.Millisecond, time.Minute)
	case "go on":
		if c.Has("lease") {
			c.Errorf("lease", "lease goes with cut_off = \"stop\": without leases a proxy that is cut off goes on")
		}
	}
	p.file.Tier = t
	return nil
}

// trace reads what is kept of what clients ask.
func (p *parser) trace(c *star.Call) starlark.Value {
	if p.file.Trace != nil {
		c.Errorf("", "trace() is called a second time")
	}
	t := &Trace{File: c.String("file", ""), SampleRate: c.Float("sample", 1, 1e-6, 1), SaltFile: c.String("salt_file", "")}
	t.MaxBytes = int64(c.Int("most_mb", 64, 1, 1<<20)) << 20
	if t.File == "" {
		c.Errorf("file", "trace: file is missing, a file's name was expected")
	}
	p.file.Trace = t
	return nil
}

// consul reads what is watched in Consul.
func (p *parser) consul(c *star.Call) starlark.Value {
	if p.file.Consul != nil {
		c.Errorf("", "consul() is called a second time")
	}
	k := &Consul{Services: map[string]int{}, TokenFile: c.String("token_file", ""), Filter: c.String("filter", ""),
		WaitTime: c.Duration("wait", 30*time.Second, 100*time.Millisecond, 10*time.Minute),
		CAFile:   c.String("ca_file", ""), CertFile: c.String("cert_file", ""), KeyFile: c.String("key_file", ""), Exclusive: c.Bool("alone", false),
		Mapping: consul.Mapping{GroupIn: c.String("group_in", ""), ZoneIn: c.String("zone_in", ""), RoleIn: c.String("role_in", ""), StartIn: c.String("started_in", "")}}
	k.Consistency = consul.Consistency(c.Choice("mode", "default", "default", "stale", "consistent"))
	if k.Consistency == "default" {
		k.Consistency = consul.Default
	}
	words := func(arg string) (out []string) {
		c.List(arg, func(v starlark.Value) {
			s, ok := starlark.AsString(v)
			if !ok || s == "" {
				c.Errorf(arg, "%s holds %s, strings were expected", arg, v)
			}
			out = append(out, s)
		})
		return out
	}
	k.Datacenters = words("datacenters")
	if k.Agents = words("agents"); len(k.Agents) == 0 {
		c.Errorf("agents", "consul: agents is missing, a list such as [\"http://127.0.0.1:8500\"] was expected")
	}
	for _, a := range k.Agents {
		u, err := url.Parse(a)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil {
			c.Errorf("agents", "agents holds %q, a URL such as \"http://127.0.0.1:8500\" was expected, without a user", a)
		}
	}
	c.Dict("services", func(name string, v starlark.Value) {
		n, err := starlark.AsInt32(v)
		if err != nil || n < 0 {
			c.Errorf("services", "services: %q has the group %s, a number was expected", name, v)
		}
		k.Services[name] = n
	})
	if len(k.Services) == 0 {
		c.Errorf("services", "consul: services is missing, a table {name: group} was expected")
	}
	if (k.CertFile == "") != (k.KeyFile == "") {
		c.Errorf("cert_file", "cert_file and key_file go together")
	}
	p.file.Consul = k
	return nil
}

// members reads how catalogues are merged.
func (p *parser) members(c *star.Call) starlark.Value {
	m, minute := &p.file.Members, time.Minute
	m.AliveTimeout = c.Duration("answers", 0, 100*time.Millisecond, minute)
	m.UnlistedTimeout = c.Duration("lost", 0, 100*time.Millisecond, 60*minute)
	m.AliveUnlistedTimeout = c.Duration("keep", 0, time.Second, 24*60*minute)
	m.CriticalTimeout = c.Duration("failing", 0, time.Second, 24*60*minute)
	m.RenameTimeout = c.Duration("same", 0, 10*time.Millisecond, 10*time.Second)
	m.PanicFraction = c.Float("panic", 0, 0.01, 1)
	m.PanicDuration = c.Duration("panic_for", 0, time.Second, 60*minute)
	m.PanicMinMembers = c.Int("panic_least", 0, 1, 1<<16)
	m.FlapPenalty = c.Float("flap", 0, 1, 1e6)
	m.SuppressThreshold = c.Float("suppress", 0, 1, 1e6)
	m.ReuseThreshold = c.Float("reuse", 0, 1, 1e6)
	m.PenaltyHalfLife = c.Duration("half", 0, time.Second, 60*minute)
	m.WeightHalfLife = c.Duration("decay", 0, time.Second, 24*60*minute)
	if d := m.WithDefaults(); d.Check() != nil {
		c.Errorf("", "%v", d.Check())
	}
	return nil
}

// handover reads what is held while a group has no primary.
func (p *parser) handover(c *star.Call) starlark.Value {
	if p.handed {
		c.Errorf("", "handover() is called a second time")
	}
	p.handed = true
	minute := time.Minute
	h := handover.Config{Hold: c.Bool("hold", true)}
	h.Likely = c.Float("likely", 0, 0.01, 1)
	h.Keep = c.Float("keep", 0, 0.01, 1)
	h.LateCost = c.Float("late_cost", 0, 0.001, 1)
	h.MostHeld = c.Int("most_held", 0, 1, 1<<16)
	h.MostBytes = c.Int("most_bytes", 0, 1<<10, 1<<30)
	h.MostTime = c.Duration("most_time", 0, 10*time.Millisecond, minute)
	h.Drain.From = c.Duration("drain_from", 450*time.Millisecond, 0, minute)
	h.Drain.To = c.Duration("drain_to", 800*time.Millisecond, time.Millisecond, minute)
	h.Death.From = c.Duration("death_from", 2*time.Second, 0, 10*minute)
	h.Death.To = c.Duration("death_to", 7*time.Second, time.Millisecond, 10*minute)
	h.Fade = c.Duration("fade", 0, time.Second, 24*60*minute)
	h.Blip = c.Duration("blip", 0, 10*time.Millisecond, minute)
	h.Settle = c.Duration("settle", 0, 10*time.Millisecond, minute)
	h.Search = c.Duration("search", 0, 5*time.Millisecond, 10*time.Second)
	h.Margin = c.Duration("margin", 0, time.Millisecond, 10*time.Second)
	h = h.WithDefaults()
	if err := h.Validate(); err != nil {
		c.Errorf("", "%v", err)
	}
	p.file.Handover = h
	return nil
}

func (p *parser) mysql(c *star.Call) starlark.Value {
	if p.file.MySQL != nil {
		c.Errorf("", "mysql() is called a second time")
	}
	m := &MySQL{Listen: c.String("listen", ""), ServerUser: c.String("server_user", "client"), PasswordFile: c.String("server_password_file", "")}
	if _, port, err := net.SplitHostPort(m.Listen); err != nil || port == "" {
		c.Errorf("listen", "listen is %q, an address with its port was expected, such as \"127.0.0.1:3306\"", m.Listen)
	}
	c.List("groups", func(v starlark.Value) {
		n, err := starlark.AsInt32(v)
		if err != nil || n < 0 {
			c.Errorf("groups", "groups holds %s, the numbers of groups were expected", v)
		}
		if m.Groups == nil {
			m.Groups = map[int]bool{}
		}
		m.Groups[n] = true
	})
	c.Dict("users", func(name string, v starlark.Value) {
		hash, ok := starlark.AsString(v)
		if !ok { // never shown: it may be a password all the same
			c.Errorf("users", "users: the secret of %q is %s, a hash as a string was expected", name, v.Type())
		}
		if m.Users == nil {
			m.Users = map[string]string{}
		}
		m.Users[name] = hash
	})
	p.file.MySQL = m
	return nil
}

func (p *parser) levels(c *star.Call) starlark.Value {
	if p.called {
		c.Errorf("", "levels() is called a second time")
	}
	p.called, p.enabled = true, c.Bool("enabled", true)
	g, minute := &p.cfg, time.Minute
	g.Enter = c.Float("enter", 0, 0.001, 1)
	g.EnterAfter = c.Duration("enter_after", 0, 100*time.Millisecond, minute)
	g.Leave = c.Float("leave", 0, 0.001, 1)
	g.Fill = c.Float("fill", 0, 0.1, 10)
	g.Margin = c.Float("margin", 0, 0.1, 1)
	g.Dwell = c.Duration("dwell", 0, time.Second, 10*minute)
	g.DwellMost = c.Duration("dwell_most", 0, time.Second, 60*minute)
	g.Quick = c.Duration("quick_return", 0, time.Second, 60*minute)
	g.Calm = c.Duration("calm", 0, time.Second, 60*minute)
	g.Settle = c.Duration("settle", 0, 100*time.Millisecond, minute)
	g.Blind = c.Duration("blind", 0, time.Second, 10*minute)
	g.Fall = c.Int("changes_a_minute", 0, 1, 60)
	if d := g.WithDefaults(); d.Leave >= d.Enter {
		c.Errorf("leave", "leave is %v, it must be below enter, which is %v", d.Leave, d.Enter)
	} else if d.DwellMost < d.Dwell {
		c.Errorf("dwell_most", "dwell_most is %v, it must not be below dwell, which is %v", d.DwellMost, d.Dwell)
	}
	return nil
}

// level adds one to the ladder: what it doesn't say of a class is as at the level below.
func (p *parser) level(c *star.Call) starlark.Value {
	name := c.PositionalString("name")
	for _, l := range p.ladder {
		if l.Name == name && name != "" {
			c.Errorf("", "level %q is there twice", name)
		}
	}
	if name == "normal" {
		c.Errorf("", "\"normal\" is the level that admits everything; it needs no description")
	}
	l := levels.Level{Name: name, Rules: make([]levels.Rule, len(p.classes))}
	below := "normal"
	for i := range l.Rules {
		l.Rules[i] = levels.Rule{Admit: 1, Repeats: true, ComeBack: 500 * time.Millisecond}
		if n := len(p.ladder); n > 0 {
			l.Rules[i], below = p.ladder[n-1].Rules[i], p.ladder[n-1].Name
		}
	}
	each := func(arg string, set func(*levels.Rule, starlark.Value)) {
		c.Dict(arg, func(key string, v starlark.Value) {
			for i, n := range p.classNames {
				if n == key {
					set(&l.Rules[i], v)
					return
				}
			}
			c.Errorf(arg, "%s: no class %q%s", arg, key, star.Suggestion(key, p.classNames))
		})
	}
	each("admit", func(r *levels.Rule, v starlark.Value) {
		if x, ok := c.ToFloat("admit", v, 0, 1); ok {
			if x > r.Admit {
				c.Errorf("admit", "level %q admits %v of a class, more than %v at %q below it", name, x, r.Admit, below)
			}
			r.Admit = x
		}
	})
	each("repeats", func(r *levels.Rule, v starlark.Value) {
		b, ok := v.(starlark.Bool)
		if !ok {
			c.Errorf("repeats", "repeats: %s, True or False was expected", v)
		}
		r.Repeats = bool(b)
	})
	each("come_back", func(r *levels.Rule, v starlark.Value) {
		if d, ok := c.ToDuration("come_back", v); ok {
			if d < 0 || d > time.Minute {
				c.Errorf("come_back", "come_back is %v, 0s to 1m0s was expected", d)
			}
			r.ComeBack = d
		}
	})
	p.ladder = append(p.ladder, l)
	return nil
}

// hold notes a pin or a cap.
func (p *parser) hold(c *star.Call, in map[logic.GroupID]string) starlark.Value {
	name := c.PositionalString("level")
	group := levels.AllGroups
	if c.Has("group") {
		group = logic.GroupID(c.Int("group", 0, 0, math.MaxInt32))
	}
	if _, twice := in[group]; twice {
		c.Errorf("", "%s() is called twice for the same group", c.Function)
	}
	in[group] = name
	if name != "" {
		p.holds = append(p.holds, c)
	}
	return nil
}

// names checks the levels that pins and caps name; they may be described further down.
func (p *parser) names() {
	var names []string
	for _, l := range p.full() {
		names = append(names, l.Name)
	}
	if p.revised != nil && p.file.Tier != nil {
		p.revised.Errorf("", "revision() beside tier(): the tier's planners number its policies")
	}
	for _, c := range p.holds {
		c.RewindPositional()
		c.CheckOneOf("level", c.PositionalString("level"), names)
	}
}

// full is the whole ladder: the file's own, or the one that ships.
func (p *parser) full() []levels.Level {
	ladder := levels.DefaultLadder(p.classes)
	if len(p.ladder) == 0 {
		return ladder
	}
	return append(ladder[:1:1], p.ladder...)
}

func (p *parser) finish() error {
	if !p.enabled {
		return nil
	}
	cfg := p.cfg
	cfg.Classes, cfg.Ladder, cfg.Pin, cfg.Cap = p.classes, p.full(), p.pins, p.caps
	cfg = cfg.WithDefaults()
	p.file.Levels = &cfg
	return cfg.Validate()
}
