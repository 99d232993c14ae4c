// Package operator reads the operator's file, which holds the settings that the platform does not provide, as Starlark. It returns one typed
// and validated value. A file is checked against the deployment's classes, so that unknown names are reported at once. The package only
// reads; package run puts the settings into effect.
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

// File holds the settings of an operator's file. Its zero value applies if there is no file.
type File struct {
	Console Console
	// Levels configures the levels of reduced service; nil = off.
	Levels *levels.Config
	MySQL  *MySQL // nil = off
	// Handover determines which requests are held while a group has no primary; the zero value holds none.
	Handover handover.Config
	// Tuning overrides routing defaults.
	Tuning logic.Tuning
	Trace  *Trace  // nil = no trace is recorded
	Consul *Consul // nil = Consul is not used
	Tier   *Tier   // nil = the proxy's policy comes from its own files
	// Revision is the number that the operator gives the file. It is not allowed beside Tier, whose planners number the policies.
	Revision Revision
	// Members configures how several catalogues are merged.
	Members membership.Config
}

// Tier configures a tier: proxies with one common policy that planners keep.
type Tier struct {
	Name        string // this proxy's name; empty = as in the configuration
	Planners    []string
	Rollout     rollout.Config
	TellClients bool // send the policy's number to clients in answers
	// ChecksPerSecond limits the health checks that this proxy sends, and ReportBytesPerSecond the bytes of its reports about them. If
	// checking every database would exceed the limit, the proxies of the tier share the checks. ChecksPerSecond 0 = no limit, and each
	// proxy checks every database.
	ChecksPerSecond, ReportBytesPerSecond float64
}

// Revision identifies the file that a proxy runs with.
type Revision struct {
	Number      uint64 // 0 = not set
	TellClients bool   // send the number to clients in answers
}

// Consul configures a Consul catalogue that complements or replaces the platform's list.
type Consul struct {
	Agents                    []string       // base URLs
	Services                  map[string]int // group by service name, for instances that do not declare one
	TokenFile                 string
	Datacenters               []string
	Filter                    string
	Consistency               consul.Consistency
	WaitTime                  time.Duration
	CAFile, CertFile, KeyFile string
	Exclusive                 bool // the platform's list is ignored
	Mapping                   consul.Mapping
}

// Trace configures the recording of client requests.
type Trace struct {
	File       string
	SampleRate float64
	MaxBytes   int64
	SaltFile   string // file with the salt of the hashes; empty = a random salt at each start
}

// MySQL configures a second listener for clients, and connections to databases, that use the MySQL protocol.
type MySQL struct {
	Listen       string
	Groups       map[int]bool      // groups whose databases use the MySQL protocol; nil = all
	Users        map[string]string // password hashes by user name; empty = any user without a password
	ServerUser   string            // user name for connections to databases
	PasswordFile string            // file with the password of ServerUser; empty = no password
}

// Console configures the administrators' console.
type Console struct {
	Enabled bool // for clients on loopback addresses that connect to the database "havenproxy"
}

// Read reads an operator's file for a deployment with the given classes. The error lists all problems, one per line.
func Read(path string, classes []levels.Class) (*File, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src, classes)
}

// Parse parses the text of an operator's file, like Read. name is the file's name in errors.
func Parse(name string, src []byte, classes []levels.Class) (*File, error) {
	p := &parser{classes: classes, pins: map[logic.GroupID]string{}, caps: map[logic.GroupID]string{}}
	for _, c := range classes {
		p.classNames = append(p.classNames, c.Name)
	}
	if err := star.Exec(name, src, map[string]star.Func{
		"console": p.console, "levels": p.levels, "level": p.level, "mysql": p.mysql, "handover": p.handover, "routing": p.routing, "trace": p.trace, "consul": p.consul, "members": p.members, "tier": p.tier, "revision": p.revision,
		"pin": func(c *star.Call) starlark.Value { return p.pinOrCap(c, p.pins) },
		"cap": func(c *star.Call) starlark.Value { return p.pinOrCap(c, p.caps) },
	}, p.checkAcrossCalls); err != nil {
		return nil, err
	}
	return &p.file, p.finish()
}

// parser collects the settings while a file is executed.
type parser struct {
	file           File
	classes        []levels.Class
	classNames     []string
	levelsEnabled  bool
	levelsCalled   bool
	handoverCalled bool
	routingCalled  bool
	levelsConfig   levels.Config
	ladder         []levels.Level
	pins, caps     map[logic.GroupID]string
	pinCalls       []*star.Call // the calls of pin and cap that name a level
	revisionCall   *star.Call   // nil = revision was not called
}

// console implements console(), which enables the administrators' console.
func (p *parser) console(c *star.Call) starlark.Value {
	p.file.Console.Enabled = c.Bool("enabled", true)
	return nil
}

// routing implements routing(), which overrides routing defaults.
func (p *parser) routing(c *star.Call) starlark.Value {
	if p.routingCalled {
		c.Errorf("", "routing() is called a second time")
	}
	p.routingCalled = true
	p.file.Tuning.PingWindow = c.Duration("ping_window", 0, 100*time.Microsecond, time.Second)
	p.file.Tuning.FirstLimit = c.Float("first_limit", 0, 1, 1e4)
	return nil
}

// revision implements revision(), which sets the file's number.
func (p *parser) revision(c *star.Call) starlark.Value {
	if p.file.Revision.Number > 0 {
		c.Errorf("", "revision() is called a second time")
	}
	p.file.Revision = Revision{Number: uint64(c.Int("number", 0, 1, 1<<31-1)), TellClients: c.Bool("tell_clients", false)}
	if p.revisionCall = c; p.file.Revision.Number == 0 && !c.Has("number") {
		c.Errorf("", "number is missing: the number of this file, 1 or more")
	}
	return nil
}

// tier implements tier(), which names the planners and configures the tier.
func (p *parser) tier(c *star.Call) starlark.Value {
	if p.file.Tier != nil {
		c.Errorf("", "tier() is called a second time")
	}
	config := &Tier{Name: c.String("name", ""), TellClients: c.Bool("tell_clients", false)}
	config.ChecksPerSecond, config.ReportBytesPerSecond = c.Float("checks", 0, 0, 1000), c.Float("report_bytes", 1600, 200, 1e6)
	if c.Has("report_bytes") && config.ChecksPerSecond == 0 {
		c.Errorf("report_bytes", "report_bytes requires checks: without a limit on checks nothing is reported")
	}
	c.List("planners", func(v starlark.Value) {
		address, ok := starlark.AsString(v)
		if _, err := netip.ParseAddrPort(address); !ok || err != nil {
			c.Errorf("planners", "planners holds %s, addresses such as \"10.0.0.21:7400\" were expected", v)
			return
		}
		config.Planners = append(config.Planners, address)
	})
	if len(config.Planners) == 0 {
		c.Errorf("planners", "no planners are named")
	}
	switch c.Choice("cut_off", "stop", "stop", "go on") {
	case "stop":
		config.Rollout.Lease = c.Duration("lease", 2*time.Second, 200*time.Millisecond, time.Minute)
	case "go on":
		if c.Has("lease") {
			c.Errorf("lease", "lease requires cut_off = \"stop\": without leases a proxy that is cut off keeps serving")
		}
	}
	p.file.Tier = config
	return nil
}

// trace implements trace(), which configures the recording of client requests.
func (p *parser) trace(c *star.Call) starlark.Value {
	if p.file.Trace != nil {
		c.Errorf("", "trace() is called a second time")
	}
	config := &Trace{File: c.String("file", ""), SampleRate: c.Float("sample", 1, 1e-6, 1), SaltFile: c.String("salt_file", "")}
	config.MaxBytes = int64(c.Int("most_mb", 64, 1, 1<<20)) << 20
	if config.File == "" {
		c.Errorf("file", "trace: file is missing, a file's name was expected")
	}
	p.file.Trace = config
	return nil
}

// consul implements consul(), which configures the Consul catalogue.
func (p *parser) consul(c *star.Call) starlark.Value {
	if p.file.Consul != nil {
		c.Errorf("", "consul() is called a second time")
	}
	config := &Consul{Services: map[string]int{}, TokenFile: c.String("token_file", ""), Filter: c.String("filter", ""),
		WaitTime: c.Duration("wait", 30*time.Second, 100*time.Millisecond, 10*time.Minute),
		CAFile:   c.String("ca_file", ""), CertFile: c.String("cert_file", ""), KeyFile: c.String("key_file", ""), Exclusive: c.Bool("alone", false),
		Mapping: consul.Mapping{GroupIn: c.String("group_in", ""), ZoneIn: c.String("zone_in", ""), RoleIn: c.String("role_in", ""), StartIn: c.String("started_in", "")}}
	config.Consistency = consul.Consistency(c.Choice("mode", "default", "default", "stale", "consistent"))
	if config.Consistency == "default" {
		config.Consistency = consul.Default
	}
	readStrings := func(arg string) (list []string) {
		c.List(arg, func(v starlark.Value) {
			s, ok := starlark.AsString(v)
			if !ok || s == "" {
				c.Errorf(arg, "%s holds %s, strings were expected", arg, v)
			}
			list = append(list, s)
		})
		return list
	}
	config.Datacenters = readStrings("datacenters")
	if config.Agents = readStrings("agents"); len(config.Agents) == 0 {
		c.Errorf("agents", "consul: agents is missing, a list such as [\"http://127.0.0.1:8500\"] was expected")
	}
	for _, a := range config.Agents {
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
		config.Services[name] = n
	})
	if len(config.Services) == 0 {
		c.Errorf("services", "consul: services is missing, a table {name: group} was expected")
	}
	if (config.CertFile == "") != (config.KeyFile == "") {
		c.Errorf("cert_file", "cert_file and key_file must be given together")
	}
	p.file.Consul = config
	return nil
}

// members implements members(), which configures how catalogues are merged.
func (p *parser) members(c *star.Call) starlark.Value {
	config, minute := &p.file.Members, time.Minute
	config.AliveTimeout = c.Duration("answers", 0, 100*time.Millisecond, minute)
	config.UnlistedTimeout = c.Duration("lost", 0, 100*time.Millisecond, 60*minute)
	config.AliveUnlistedTimeout = c.Duration("keep", 0, time.Second, 24*60*minute)
	config.CriticalTimeout = c.Duration("failing", 0, time.Second, 24*60*minute)
	config.RenameTimeout = c.Duration("same", 0, 10*time.Millisecond, 10*time.Second)
	config.PanicFraction = c.Float("panic", 0, 0.01, 1)
	config.PanicDuration = c.Duration("panic_for", 0, time.Second, 60*minute)
	config.PanicMinMembers = c.Int("panic_least", 0, 1, 1<<16)
	config.FlapPenalty = c.Float("flap", 0, 1, 1e6)
	config.SuppressThreshold = c.Float("suppress", 0, 1, 1e6)
	config.ReuseThreshold = c.Float("reuse", 0, 1, 1e6)
	config.PenaltyHalfLife = c.Duration("half", 0, time.Second, 60*minute)
	config.WeightHalfLife = c.Duration("decay", 0, time.Second, 24*60*minute)
	if d := config.WithDefaults(); d.Check() != nil {
		c.Errorf("", "%v", d.Check())
	}
	return nil
}

// handover implements handover(), which configures what is held while a group has no primary.
func (p *parser) handover(c *star.Call) starlark.Value {
	if p.handoverCalled {
		c.Errorf("", "handover() is called a second time")
	}
	p.handoverCalled = true
	minute := time.Minute
	config := handover.Config{Hold: c.Bool("hold", true)}
	config.Likely = c.Float("likely", 0, 0.01, 1)
	config.Keep = c.Float("keep", 0, 0.01, 1)
	config.LateCost = c.Float("late_cost", 0, 0.001, 1)
	config.MostHeld = c.Int("most_held", 0, 1, 1<<16)
	config.MostBytes = c.Int("most_bytes", 0, 1<<10, 1<<30)
	config.MostTime = c.Duration("most_time", 0, 10*time.Millisecond, minute)
	config.Drain.From = c.Duration("drain_from", 450*time.Millisecond, 0, minute)
	config.Drain.To = c.Duration("drain_to", 800*time.Millisecond, time.Millisecond, minute)
	config.Death.From = c.Duration("death_from", 2*time.Second, 0, 10*minute)
	config.Death.To = c.Duration("death_to", 7*time.Second, time.Millisecond, 10*minute)
	config.Fade = c.Duration("fade", 0, time.Second, 24*60*minute)
	config.Blip = c.Duration("blip", 0, 10*time.Millisecond, minute)
	config.Settle = c.Duration("settle", 0, 10*time.Millisecond, minute)
	config.Search = c.Duration("search", 0, 5*time.Millisecond, 10*time.Second)
	config.Margin = c.Duration("margin", 0, time.Millisecond, 10*time.Second)
	config = config.WithDefaults()
	if err := config.Validate(); err != nil {
		c.Errorf("", "%v", err)
	}
	p.file.Handover = config
	return nil
}

// mysql implements mysql(), which configures the MySQL listener.
func (p *parser) mysql(c *star.Call) starlark.Value {
	if p.file.MySQL != nil {
		c.Errorf("", "mysql() is called a second time")
	}
	config := &MySQL{Listen: c.String("listen", ""), ServerUser: c.String("server_user", "client"), PasswordFile: c.String("server_password_file", "")}
	if _, port, err := net.SplitHostPort(config.Listen); err != nil || port == "" {
		c.Errorf("listen", "listen is %q, an address with its port was expected, such as \"127.0.0.1:3306\"", config.Listen)
	}
	c.List("groups", func(v starlark.Value) {
		n, err := starlark.AsInt32(v)
		if err != nil || n < 0 {
			c.Errorf("groups", "groups holds %s, the numbers of groups were expected", v)
		}
		if config.Groups == nil {
			config.Groups = map[int]bool{}
		}
		config.Groups[n] = true
	})
	c.Dict("users", func(name string, v starlark.Value) {
		hash, ok := starlark.AsString(v)
		if !ok { // not included in the error: it may be a plaintext password
			c.Errorf("users", "users: the secret of %q is %s, a string with a hash was expected", name, v.Type())
		}
		if config.Users == nil {
			config.Users = map[string]string{}
		}
		config.Users[name] = hash
	})
	p.file.MySQL = config
	return nil
}

// levels implements levels(), which enables and configures levels of reduced service.
func (p *parser) levels(c *star.Call) starlark.Value {
	if p.levelsCalled {
		c.Errorf("", "levels() is called a second time")
	}
	p.levelsCalled, p.levelsEnabled = true, c.Bool("enabled", true)
	config, minute := &p.levelsConfig, time.Minute
	config.Enter = c.Float("enter", 0, 0.001, 1)
	config.EnterAfter = c.Duration("enter_after", 0, 100*time.Millisecond, minute)
	config.Leave = c.Float("leave", 0, 0.001, 1)
	config.Fill = c.Float("fill", 0, 0.1, 10)
	config.Margin = c.Float("margin", 0, 0.1, 1)
	config.Dwell = c.Duration("dwell", 0, time.Second, 10*minute)
	config.DwellMost = c.Duration("dwell_most", 0, time.Second, 60*minute)
	config.Quick = c.Duration("quick_return", 0, time.Second, 60*minute)
	config.Calm = c.Duration("calm", 0, time.Second, 60*minute)
	config.Settle = c.Duration("settle", 0, 100*time.Millisecond, minute)
	config.Blind = c.Duration("blind", 0, time.Second, 10*minute)
	config.Fall = c.Int("changes_a_minute", 0, 1, 60)
	if d := config.WithDefaults(); d.Leave >= d.Enter {
		c.Errorf("leave", "leave is %v, it must be below enter, which is %v", d.Leave, d.Enter)
	} else if d.DwellMost < d.Dwell {
		c.Errorf("dwell_most", "dwell_most is %v, it must not be below dwell, which is %v", d.DwellMost, d.Dwell)
	}
	return nil
}

// level implements level(), which adds a level to the ladder. Rules of classes that it does not mention are those of the level below.
func (p *parser) level(c *star.Call) starlark.Value {
	name := c.PositionalString("name")
	for _, l := range p.ladder {
		if l.Name == name && name != "" {
			c.Errorf("", "level %q is defined twice", name)
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

// pinOrCap implements pin() and cap(), which record a level for one group or for all.
func (p *parser) pinOrCap(c *star.Call, levelByGroup map[logic.GroupID]string) starlark.Value {
	name := c.PositionalString("level")
	group := levels.AllGroups
	if c.Has("group") {
		group = logic.GroupID(c.Int("group", 0, 0, math.MaxInt32))
	}
	if _, exists := levelByGroup[group]; exists {
		c.Errorf("", "%s() is called twice for the same group", c.Function)
	}
	levelByGroup[group] = name
	if name != "" {
		p.pinCalls = append(p.pinCalls, c)
	}
	return nil
}

// checkAcrossCalls runs after the file. It checks the levels that pins and caps name, since these may be defined further down, and that
// revision() is not combined with tier().
func (p *parser) checkAcrossCalls() {
	var names []string
	for _, l := range p.allLevels() {
		names = append(names, l.Name)
	}
	if p.revisionCall != nil && p.file.Tier != nil {
		p.revisionCall.Errorf("", "revision() beside tier(): the tier's planners number its policies")
	}
	for _, c := range p.pinCalls {
		c.RewindPositional()
		c.CheckOneOf("level", c.PositionalString("level"), names)
	}
}

// allLevels returns the whole ladder: level normal and those of the file, or the default ladder if the file defines none.
func (p *parser) allLevels() []levels.Level {
	ladder := levels.DefaultLadder(p.classes)
	if len(p.ladder) == 0 {
		return ladder
	}
	return append(ladder[:1:1], p.ladder...)
}

// finish completes and checks the settings of the levels, if they are enabled.
func (p *parser) finish() error {
	if !p.levelsEnabled {
		return nil
	}
	config := p.levelsConfig
	config.Classes, config.Ladder, config.Pin, config.Cap = p.classes, p.allLevels(), p.pins, p.caps
	config = config.WithDefaults()
	p.file.Levels = &config
	return config.Validate()
}
