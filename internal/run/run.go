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

	"havenproxy/internal/net"
	"havenproxy/internal/operator"
	"havenproxy/internal/rollout"
	"havenproxy/internal/state"
	"havenproxy/internal/trace"
	"havenproxy/internal/wire/settings"
)

const (
	// Descriptors: some for the process itself, the rest for both sides.
	spareSockets = 24
	excessPart   = 16 // one in so many is for clients that are turned away with an answer
	linkPart     = 4  // and one in four is for databases: a few dozen serve hundreds of clients

	bufferPart  = 8        // one in so many bytes is for what clients have sent of their queries; netpoll may hold as much
	mostBuffers = 32 << 20 // where there is room for more, too
	memoryPart  = 0.7      // of the limit: the heap's share; stacks, buffers in the kernel and netpoll's pools take more

	lastClients = 500 * time.Millisecond // after SIGTERM clients still come for 0.4 s
	drainStep   = 5 * time.Millisecond   // then it looks so often whether all have their answers
	// SIGKILL comes 0.7 s behind the longest deadline, which counts as 3 s where it is longer.
	longestPatience = 3 * time.Second
	// What is owed then is answered at once, and what is taken before has until then: a request that came late on a connection
	// kept open may have all its time yet. The last answers have a little time to go out.
	answerMargin = 400 * time.Millisecond
	stopMargin   = 500 * time.Millisecond

	defaultSockets        = 1024
	defaultConnectTimeout = 250 * time.Millisecond
)

// Options are what the command line says.
type Options struct {
	Operator string // the operator's file; empty = none
	Trace    string // where to keep what clients ask, whatever the operator's file says of it; empty = as that says
}

// Main runs the proxy until it is told to stop.
func Main(o Options) error {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return fmt.Errorf("EDGE_CONFIG is not set")
	}
	_, document, err := readDocument(path, func() {})
	if err != nil {
		return err
	}
	cfg, own, err := readAll(document, o.Operator)
	if err != nil {
		return err
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryMB) * (1 << 20)))
	}
	signal.Ignore(syscall.SIGPIPE) // a log reader that goes away must not end the proxy
	caught := make(chan os.Signal, 4)
	signal.Notify(caught, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer func() { // what has ended hears no more signals
		signal.Stop(caught)
		close(caught)
	}()
	p, err := start(cfg)
	if err != nil {
		return err
	}
	p.text = document.Rest
	if err := p.listenMySQL(own.MySQL); err != nil {
		return err
	}
	if o.Trace != "" {
		p.traceFile = o.Trace
	}
	effect, err := p.ready(own)
	if err != nil {
		return err
	}
	p.loop.Post(effect)
	if own.Tier != nil {
		p.join(own, cfg)
	}
	if err := p.reportStart(cfg, o.Operator); err != nil {
		return err
	}
	go p.signals(caught, path, o.Operator)
	p.loop.Run()
	if p.failed != nil {
		return p.failed
	}
	p.untrace(p.front.SetTrace(nil))
	if p.consul != nil {
		p.consul.Stop()
	}
	slog.Info("stopped", "unanswered", p.front.Pending(), "counters", &p.front.Counters, "refusals", p.front.Refusals(), "delays", &p.front.Delays)
	return nil
}

// readDocument reads the configuration's file, and tells how many bytes it has. Between the parts of a long one it calls pause.
func readDocument(path string, pause func()) (size int, d settings.Document, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, d, err
	}
	d, err = settings.Split(text, pause)
	return len(text), d, err
}

// readAll gives what a configuration says, and the operator's file, which is checked against the former's classes. Its errors are told in one
// line.
func readAll(d settings.Document, file string) (settings.Config, *operator.File, error) {
	cfg, err := d.Config()
	if err != nil {
		return cfg, nil, err
	}
	own, err := readOperator(file, cfg)
	if err != nil {
		return cfg, nil, fmt.Errorf("operator's file: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return cfg, own, nil
}

func readOperator(file string, cfg settings.Config) (*operator.File, error) {
	if file == "" {
		return &operator.File{}, nil
	}
	own, err := operator.Read(file, state.LevelClasses(cfg.Settings.Config))
	if err == nil && own.MySQL != nil {
		_, err = mysqlUsers(own.MySQL)
	}
	return own, err
}

// Validate tells what is wrong with a configuration and with an operator's file, if one is named; a line for each error.
func Validate(path, file string) error {
	_, document, err := readDocument(path, func() {})
	if err != nil {
		return err
	}
	cfg, err := document.Config()
	if err != nil {
		return err
	}
	_, err = readOperator(file, cfg)
	return err
}

// apply puts the operator's file into effect; it is called on the loop.
func (p *proxy) apply(own *operator.File) {
	if p.tier == nil { // the tier's policy has one way in
		p.front.ConfigureLevels(own.Levels)
		p.front.SetHandover(own.Handover)
		p.front.SetTuning(own.Tuning)
		p.front.SetRevision(own.Revision.Number)
		p.server.ReportPolicy(own.Revision.TellClients)
	}
	p.server.EnableConsole(own.Console.Enabled)
	if p.mysql != nil && own.MySQL != nil { // its address and groups stay as they were at the start
		p.mysql.Users, _ = mysqlUsers(own.MySQL)
	}
}

// leastSalt is the least length of the secret of a trace's hashes, in bytes.
const leastSalt = 16

// proxy is the running program.
type proxy struct {
	databases *net.Databases
	mysql     *net.MySQLOptions // nil = it has no such front

	loop      *net.Loop
	clock     state.Clock
	front     *state.Engine
	server    *net.Server
	discovery *net.Discovery

	text      []byte // the configuration at the start, without the list of databases
	admin     *net.Admin
	peers     *net.Peers // nil = it doesn't talk with peers
	accept    int        // the descriptor of a socket that listens already; 0 = there is none
	failed    error      // why it could not go on
	serving   bool       // it can serve, and has been able to
	startedAt time.Duration
	settling  state.Deadline

	patience time.Duration // the longest that a request may take
	stopping bool
	timer    state.Deadline
	answerBy time.Duration
	killAt   time.Duration

	tier      *net.PlannerLink // nil = the proxy goes by its own files
	enforced  rollout.Number
	log       *slog.Logger // without the policy's number
	traceFile string       // of the command line
	traced    *trace.Config
	watched   *net.ConsulConfig // as of the last file
	consul    *net.Consul       // the loop's alone
	sources   []string
}

// start puts the parts together and begins to listen; nothing runs before the loop does.
func start(cfg settings.Config) (*proxy, error) { return startOn(cfg, state.NewClock()) }

// startOn does so on a clock of the caller's.
func startOn(cfg settings.Config, clock state.Clock) (*proxy, error) {
	sockets := cfg.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	sockets -= spareSockets
	links, excess := sockets/linkPart, sockets/excessPart
	clients := sockets - links - excess
	if clients <= 0 || links <= 0 {
		return nil, fmt.Errorf("configuration: limits.sockets: %d are too few", cfg.Sockets)
	}
	s := cfg.Settings
	if s.ConnectTimeout <= 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	// A list that is pushed comes as far as the agent on the own machine, which has to be asked for it like any other service. Without
	// this, nobody asked at all: the router asks only where it is told so.
	s.Config.ListOnRequest, s.Config.ListFromAgent = true, !s.Config.ListOnRequest
	p := &proxy{clock: clock}
	databases := &net.Databases{ConnectTimeout: s.ConnectTimeout}
	var err error
	p.front, err = state.New(state.Config{Logic: s.Config, Zones: s.Zones, IdleClose: s.IdleClose,
		ConnectTimeout: s.ConnectTimeout, MaxConnections: links}, p.clock, databases)
	if err != nil {
		return nil, err
	}
	for _, c := range s.Config.Classes {
		p.patience = min(max(p.patience, c.Limit), longestPatience)
	}
	p.loop = net.NewLoop(p.clock, &p.front.Deadlines)
	p.loop.Measure(&p.front.Counters, &p.front.Delays)
	databases.Loop, databases.Counters, p.databases = p.loop, &p.front.Counters, databases
	buffers := mostBuffers
	if cfg.MemoryMB > 0 {
		buffers = min(cfg.MemoryMB<<20/bufferPart, mostBuffers)
	}
	p.server = net.NewServer(p.loop, p.clock, p.front, clients, excess, buffers)
	if fd := os.Getenv("EDGE_ACCEPT_FD"); fd != "" {
		if p.accept, err = strconv.Atoi(fd); err != nil || p.accept <= 2 {
			return nil, fmt.Errorf("EDGE_ACCEPT_FD: %q is no descriptor", fd)
		}
	} else if err := p.server.Listen(cfg.Listen); err != nil {
		return nil, err
	}
	if address := cmp.Or(cfg.Admin, os.Getenv("EDGE_ADMIN")); address != "" {
		if p.admin, err = net.ListenAdmin(p.loop, p.clock, &p.front.Deadlines, address, p); err != nil {
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	if cfg.PeerListen != "" && cfg.PeersAll != "" && s.Config.MaxPeerReports > 0 {
		peers, err := net.ListenPeers(p.loop, p.front, cfg.PeerListen, cfg.Peers, cfg.PeersAll)
		if errors.Is(err, net.ErrPeerAddress) {
			return nil, err
		}
		if err != nil { // the address is taken: all works without, if with more pings
			slog.Warn("no talk with peers", "error", err)
		} else {
			p.peers = peers
			p.front.SetPeerSender(peers)
		}
	}
	p.discovery = net.NewDiscovery(p.loop, p.clock, p.front, cfg.Discovery, cfg.Known.Generation, s.Config.ListMaxDelay)
	p.loop.Post(func() {
		p.startedAt = p.clock.Now()
		p.front.Start(p.discovery, net.ConvertList(cfg.Known))
		p.settle()
	})
	return p, nil
}
