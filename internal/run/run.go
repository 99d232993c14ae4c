// Package run starts the proxy from its configuration and stops it on a signal.
package run

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"havenproxy/internal/limit"
	"havenproxy/internal/net"
	"havenproxy/internal/operator"
	"havenproxy/internal/rollout"
	"havenproxy/internal/state"
	"havenproxy/internal/trace"
	"havenproxy/internal/wire/pg"
	"havenproxy/internal/wire/settings"
)

const (
	// File descriptors: reservedSockets are for the process itself, the rest are divided between clients and databases.
	reservedSockets = 24
	excessDivisor   = 16 // one in 16 is for clients that are refused with an error message
	linkDivisor     = 4  // one in 4 is for databases: a few dozen connections serve hundreds of clients

	bufferDivisor  = 8        // one in 8 bytes of the memory limit is for each of: buffers of clients' input, their requests, their answers
	maxBufferBytes = 32 << 20 // upper limit even if there is more memory
	heapShare      = 0.7      // of the memory limit; the rest is for stacks and netpoll's pools

	acceptGrace       = 500 * time.Millisecond // new clients may still arrive for 0.4 s after SIGTERM
	drainPollInterval = 5 * time.Millisecond   // how often the proxy then checks whether all requests have been answered
	// SIGKILL follows 0.7 s after the longest request deadline, of which at most 3 s count.
	maxRequestTimeLimit = 3 * time.Second
	// After answerMargin, pending requests are answered with an error; until then they may still complete, since a request that
	// arrived late on an open connection may have its full deadline ahead. exitMargin leaves time to send the last answers.
	answerMargin = 400 * time.Millisecond
	exitMargin   = 500 * time.Millisecond
	// maxDeliveryTime is how much longer the process stays for clients that are still taking their answers.
	maxDeliveryTime = time.Minute

	defaultSockets        = 1024
	defaultConnectTimeout = 250 * time.Millisecond
)

// Options holds the settings of the command line.
type Options struct {
	Operator string // path of the operator's file; empty = none
	Trace    string // path of the request trace, overriding the operator's file; empty = as in the operator's file
}

// Main runs the proxy until a signal or a fatal error stops it.
func Main(o Options) error {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return fmt.Errorf("EDGE_CONFIG is not set")
	}
	_, document, err := readDocument(path, func() {})
	if err != nil {
		return err
	}
	cfg, operatorFile, err := parseFiles(document, o.Operator)
	if err != nil {
		return err
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(cfg.MemoryMB) * (1 << 20)))
	}
	signal.Ignore(syscall.SIGPIPE) // a log reader that goes away must not end the proxy
	received := notifySignals()
	defer received.close()
	p, err := start(cfg)
	if err != nil {
		return err
	}
	p.initialConfig = document.ConfigJSON
	if err := p.listenMySQL(operatorFile.MySQL); err != nil {
		return err
	}
	if o.Trace != "" {
		p.traceFile = o.Trace
	}
	effect, err := p.prepare(operatorFile)
	if err != nil {
		return err
	}
	p.loop.Post(effect)
	if operatorFile.Tier != nil {
		p.joinTier(operatorFile, cfg)
	}
	if err := p.reportStart(cfg, o.Operator); err != nil {
		return err
	}
	p.handleSignals(received, path, o.Operator)
	p.loop.Run()
	if p.fatalErr != nil {
		return p.fatalErr
	}
	p.closeTrace(p.engine.SetTrace(nil))
	if p.consul != nil {
		p.consul.Stop()
	}
	slog.Info("stopped", "unanswered", p.engine.Pending(), "counters", &p.engine.Counters, "refusals", p.engine.Refusals(),
		"closes", p.server.Closes(), "delays", &p.engine.Delays)
	return nil
}

// readDocument reads the configuration file and returns its size in bytes as well. Between the parts of a long file it calls pause.
func readDocument(path string, pause func()) (size int, d settings.Document, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, d, err
	}
	d, err = settings.Split(text, pause)
	return len(text), d, err
}

// parseFiles returns the settings of a configuration and of the operator's file, which is checked against the configuration's classes. Errors
// take one line.
func parseFiles(d settings.Document, file string) (settings.Config, *operator.File, error) {
	cfg, err := d.Config()
	if err != nil {
		return cfg, nil, err
	}
	operatorFile, err := readOperatorFile(file, cfg)
	if err != nil {
		return cfg, nil, fmt.Errorf("operator's file: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return cfg, operatorFile, nil
}

// readOperatorFile reads and checks the operator's file. Without a file it returns the zero value.
func readOperatorFile(file string, cfg settings.Config) (*operator.File, error) {
	if file == "" {
		return &operator.File{}, nil
	}
	operatorFile, err := operator.Read(file, state.LevelClasses(cfg.Settings.Config))
	if err == nil && operatorFile.MySQL != nil {
		_, err = mysqlUsers(operatorFile.MySQL)
	}
	return operatorFile, err
}

// Validate checks a configuration and, if file is not empty, an operator's file. The error has one line for each problem.
func Validate(path, file string) error {
	_, document, err := readDocument(path, func() {})
	if err != nil {
		return err
	}
	cfg, err := document.Config()
	if err != nil {
		return err
	}
	_, err = readOperatorFile(file, cfg)
	return err
}

// applyOperatorFile puts the operator's file into effect. It must be called on the loop.
func (p *proxy) applyOperatorFile(file *operator.File) {
	if p.tier == nil { // in a tier, only the tier's policy sets these
		p.engine.ConfigureLevels(file.Levels)
		p.engine.SetHandover(file.Handover)
		p.engine.SetTuning(file.Tuning)
		p.engine.SetRevision(file.Revision.Number)
		p.server.ReportPolicy(file.Revision.TellClients)
	}
	p.server.EnableConsole(file.Console.Enabled)
	if p.mysql != nil && file.MySQL != nil { // its address and groups change only with a restart
		p.mysql.Users, _ = mysqlUsers(file.MySQL)
	}
}

// minSaltLen is the minimum length of the salt of a trace's hashes, in bytes.
const minSaltLen = 16

// proxy is the running program.
type proxy struct {
	databases *net.Databases
	mysql     *net.MySQLOptions // nil = MySQL is not served

	loop      *net.Loop
	clock     state.Clock
	engine    *state.Engine
	server    *net.Server
	discovery *net.Discovery

	initialConfig []byte // the configuration at the start, without the list of databases
	admin         *net.Admin
	peers         *net.Peers // nil = no messages are exchanged with peers
	acceptFD      int        // descriptor of an inherited listening socket; 0 = none
	fatalErr      error      // the error that stopped the loop
	canServe      bool       // set once the proxy has become able to serve
	startedAt     time.Duration
	readyTimer    state.Deadline

	maxRequestTime time.Duration // the longest deadline of a request, at most maxRequestTimeLimit
	stopping       bool
	stopTimer      state.Deadline
	answerDeadline time.Duration
	exitDeadline   time.Duration

	memory        *memoryMonitor
	tier          *net.PlannerLink // nil = the proxy's policy comes from its own files
	policyNumber  rollout.Number
	baseLog       *slog.Logger // the logger without the policy number
	traceFile     string       // from the command line
	traceConfig   *trace.Config
	consulConfig  *net.ConsulConfig // of the operator's file last read
	consul        *net.Consul       // used on the loop only
	consulSources []string
}

// start builds the proxy and opens its listeners. Nothing runs before the loop does.
func start(cfg settings.Config) (*proxy, error) { return startWithClock(cfg, state.NewClock()) }

// startWithClock is start with a clock of the caller.
func startWithClock(cfg settings.Config, clock state.Clock) (*proxy, error) {
	sockets := cfg.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	sockets -= reservedSockets
	links, excess := sockets/linkDivisor, sockets/excessDivisor
	clients := sockets - links - excess
	if clients <= 0 || links <= 0 {
		return nil, fmt.Errorf("configuration: limits.sockets: %d are too few", cfg.Sockets)
	}
	s := cfg.Settings
	if s.ConnectTimeout <= 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	// A pushed list only reaches the agent on this machine, which has to be polled like any other discovery service. The router polls
	// only if Pull is set, so without this nothing would fetch a pushed list.
	s.Config.ListOnRequest, s.Config.ListFromAgent = true, !s.Config.ListOnRequest
	p := &proxy{clock: clock}
	databases := &net.Databases{ConnectTimeout: s.ConnectTimeout}
	var err error
	p.engine, err = state.New(state.Config{Logic: s.Config, Zones: s.Zones, IdleClose: s.IdleClose,
		ConnectTimeout: s.ConnectTimeout, MaxConnections: limit.DatabaseConnections(links, int64(cfg.MemoryMB)<<20, pg.MaxMessage)}, p.clock, databases)
	if err != nil {
		return nil, err
	}
	for _, c := range s.Config.Classes {
		p.maxRequestTime = min(max(p.maxRequestTime, c.Limit), maxRequestTimeLimit)
	}
	p.loop = net.NewLoop(p.clock, &p.engine.Deadlines)
	p.loop.Measure(&p.engine.Counters, &p.engine.Delays)
	databases.Loop, databases.Counters, p.databases = p.loop, &p.engine.Counters, databases
	buffers := maxBufferBytes
	if cfg.MemoryMB > 0 {
		buffers = min(cfg.MemoryMB<<20/bufferDivisor, maxBufferBytes)
	}
	p.server = net.NewServer(p.loop, p.clock, p.engine, clients, excess, buffers)
	p.loop.Describe(p.server.BusiestClient)
	if cfg.Cores > 0 {
		p.server.SetCores(cfg.Cores)
	}
	p.memory = newMemoryMonitor(int64(cfg.MemoryMB) << 20)
	if fd := os.Getenv("EDGE_ACCEPT_FD"); fd != "" {
		if p.acceptFD, err = strconv.Atoi(fd); err != nil || p.acceptFD <= 2 {
			return nil, fmt.Errorf("EDGE_ACCEPT_FD: %q is no descriptor", fd)
		}
	} else if err := p.server.Listen(cfg.Listen); err != nil {
		return nil, err
	}
	if address := cmp.Or(cfg.Admin, os.Getenv("EDGE_ADMIN")); address != "" {
		if p.admin, err = net.ListenAdmin(p.loop, p.clock, &p.engine.Deadlines, address, p); err != nil {
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	if cfg.PeerListen != "" && cfg.PeersAll != "" && s.Config.MaxPeerReports > 0 {
		peers, err := net.ListenPeers(p.loop, p.engine, cfg.PeerListen, cfg.Peers, cfg.PeersAll)
		if errors.Is(err, net.ErrPeerAddress) {
			return nil, err
		}
		if err != nil { // for example, the address is in use: the proxy works without peers, with more pings
			slog.Warn("no talk with peers", "error", err)
		} else {
			p.peers = peers
			p.engine.SetPeerSender(peers)
		}
	}
	p.discovery = net.NewDiscovery(p.loop, p.clock, p.engine, cfg.Discovery, cfg.KnownDatabases.Generation, s.Config.ListMaxDelay)
	p.loop.Post(func() {
		p.startedAt = p.clock.Now()
		p.engine.Start(p.discovery, net.ConvertList(cfg.KnownDatabases))
		p.pollReady()
		p.checkMemory()
	})
	return p, nil
}
