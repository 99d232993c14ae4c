package net

import (
	"log/slog"
	"time"

	"havenproxy/internal/wire/admin"
)

// Holdings is what the server and its loop hold at a moment, by kind, and which clients hold and send the most.
type Holdings struct {
	Clients          int // connections
	Lingering        int // connections that are shut down and wait for their clients to close
	ClientsToRead    int // clients that wait for their turn
	ClientsNoMemory  int // clients whose next message waits for memory
	ClientsToWriteTo int // clients for which unsent bytes wait
	InputBytes       int // buffers of messages
	RequestBytes     int // requests under way
	PendingAnswers   int // queries that are not answered yet
	UnsentBytes      int // answers that clients have not taken
	Callbacks        int // posted to the loop and not run yet

	Largest ClientHolding // holds the most
	Busiest ClientHolding // has sent the most messages
}

// ClientHolding is what one client holds and has sent.
type ClientHolding struct {
	Address      string // empty = there is no client
	Bytes        int    // of its input and of answers that wait for it
	Pending      int    // queries that are not answered yet
	Messages     uint64 // that it has sent
	ConnectedFor time.Duration
}

// LogValue implements slog.LogValuer.
func (h ClientHolding) LogValue() slog.Value {
	return slog.GroupValue(slog.String("client", h.Address), slog.Int("bytes", h.Bytes), slog.Int("pending", h.Pending),
		slog.Uint64("messages", h.Messages), slog.Duration("connected_for", h.ConnectedFor))
}

// LogValue implements slog.LogValuer.
func (h *Holdings) LogValue() slog.Value {
	return slog.GroupValue(slog.Int("clients", h.Clients), slog.Int("lingering", h.Lingering), slog.Int("clients_to_read", h.ClientsToRead),
		slog.Int("clients_without_memory", h.ClientsNoMemory), slog.Int("clients_to_write_to", h.ClientsToWriteTo),
		slog.Int("input_bytes", h.InputBytes), slog.Int("request_bytes", h.RequestBytes), slog.Int("pending_answers", h.PendingAnswers),
		slog.Int("unsent_bytes", h.UnsentBytes), slog.Int("callbacks", h.Callbacks),
		slog.Any("largest", h.Largest), slog.Any("busiest", h.Busiest))
}

// Holdings looks at all clients and returns what is held. Its cost grows with their number.
func (s *Server) Holdings() *Holdings {
	h := &Holdings{Clients: len(s.clients), Lingering: s.lingering, ClientsToRead: s.inputQueue.Len(), ClientsNoMemory: len(s.memoryWaiters),
		InputBytes: s.inputBudget.Buffered(), RequestBytes: s.inputBudget.Requested(), PendingAnswers: s.answers.Pending,
		UnsentBytes: s.answers.Unsent, Callbacks: s.loop.queued()}
	now := s.clock.Now()
	for c := range s.clients {
		holding := c.holding(now)
		if c.output.len() > 0 {
			h.ClientsToWriteTo++
		}
		if h.Largest.Address == "" || holding.Bytes > h.Largest.Bytes {
			h.Largest = holding
		}
		if h.Busiest.Address == "" || holding.Messages > h.Busiest.Messages {
			h.Busiest = holding
		}
	}
	return h
}

// holding returns what the client holds.
func (c *client) holding(now time.Duration) ClientHolding {
	bytes := c.accountedBytes + c.output.len()
	for _, query := range c.pending {
		bytes += query.size + len(query.answer)
	}
	return ClientHolding{Address: c.remoteAddress, Bytes: bytes, Pending: len(c.pending), Messages: c.messages, ConnectedFor: now - c.connectedAt}
}

// Closes returns the numbers of ended clients' connections by reason, for the log.
func (s *Server) Closes() slog.LogValuer { return &s.closes }

// AppendMetrics appends the metrics of clients' connections: what is held for them, and why they have ended.
func (s *Server) AppendMetrics(dst []byte) []byte {
	h := s.Holdings()
	gauge := func(name string, value int) { dst = admin.AppendGauge(dst, uint64(max(value, 0)), name) }
	gauge("unsent_bytes", h.UnsentBytes)
	gauge("input_bytes", h.InputBytes+h.RequestBytes)
	gauge("clients", h.Clients)
	gauge("clients_to_read", h.ClientsToRead)
	gauge("clients_without_memory", h.ClientsNoMemory)
	gauge("clients_to_write_to", h.ClientsToWriteTo)
	gauge("pending_answers", h.PendingAnswers)
	return s.closes.appendMetrics(dst)
}

// queued returns the number of callbacks that have been posted and not been run.
func (l *Loop) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Describe makes log lines about slow callbacks name what description returns, such as the client that sends the most.
func (l *Loop) Describe(description func() slog.Value) { l.stats.description = description }

// BusiestClient describes the client that has sent the most messages, for the log.
func (s *Server) BusiestClient() slog.Value { return s.Holdings().Busiest.LogValue() }
