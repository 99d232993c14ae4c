package virtual

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/lab/standin"
	"havenproxy/internal/wire/discovery"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// What messages of one length take, as internal/net and the stand-ins write them.
var (
	loadQueryBytes = len(pg.AppendQuery(nil, "SHOW load"))
	startupBytes   = len(pg.AppendStartup(nil, "client", "core"))
	welcomeBytes   = len(pg.AppendStartupResponse(nil))
	listErrorBytes = httpBytes([]byte("down\n"))
)

// discoveryHost is where calls for the list are sent to, of a usual length.
const discoveryHost = "10.0.0.1:8500"

// codec tells how long messages are by encoding them. It keeps its buffer, and the length of the last list.
type codec struct {
	buffer     []byte
	generation int64
	listBytes  int
}

func (c *codec) report(r fleet.Report, unix time.Duration) int {
	c.buffer = standin.AppendReport(c.buffer[:0], time.Unix(0, int64(unix)), r)
	return len(c.buffer)
}

func (c *codec) answer(r *request, p fleet.Reply, unix time.Duration) int {
	role := pg.RoleReplica
	if p.Role == logic.RolePrimary {
		role = pg.RolePrimary
	}
	c.buffer = standin.AppendReply(c.buffer[:0], requestID(r), p.Result, role, unix.Milliseconds())
	return len(c.buffer)
}

func (c *codec) statement(r *request, class *fleet.Class, after, wait time.Duration) int {
	var afterMs int64
	if class.Read == logic.Session && after > 0 {
		afterMs = (epoch + after).Milliseconds()
	}
	key := r.key
	if key == "" {
		key = requestID(r)
	}
	return len(load.StatementText(requestID(r), r.session, class.Class, key, r.group, afterMs, wait)) + queryFrame
}

// queryFrame is what a query's message has beside its text.
var queryFrame = len(pg.AppendQuery(nil, ""))

// requestID has the length of those that clients use.
func requestID(r *request) string { return strconv.FormatUint(r.session|1<<63, 16) }

func listCallBytes(generation int64) int {
	return len(discovery.AppendRequest(nil, discoveryHost, generation, 3*time.Second))
}

// chunkedFrom is from where on Go's HTTP server sends a body in chunks.
const chunkedFrom = 2048

// httpBytes is how long an answer with a body is, as Go's HTTP server writes it.
func httpBytes(body []byte) int {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: " + http.TimeFormat + "\r\n"
	if len(body) <= chunkedFrom {
		return len(head) + len(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))) + len(body)
	}
	return len(head) + len("Transfer-Encoding: chunked\r\n\r\n") + len(fmt.Sprintf("%x\r\n\r\n0\r\n\r\n", len(body))) + len(body)
}

// listBytes is how long the answer with the whole list is now.
func (w *world) listBytes() int {
	entries, generation, _ := w.fleet.List(w.clock.now)
	if c := &w.codec; c.listBytes > 0 && c.generation == generation {
		return c.listBytes
	}
	var list []standin.Instance
	for _, e := range entries {
		if e.State == logic.Gone {
			continue
		}
		m := w.fleet.Members()[e.Member]
		x := standin.Instance{ID: standin.InstanceID(e.Member), Address: fmt.Sprintf("10.1.%d.%d:6432", e.Member/250, e.Member%250),
			Zone: w.cfg.Fleet.Zones[m.Zone], Machine: "lab", Group: m.Group, Lifecycle: standin.LifecycleOf(e.State), Weight: 1}
		if e.Started > 0 {
			x.StartedMs = (w.clock.Unix() - w.clock.now + e.Started).Milliseconds()
		}
		list = append(list, x)
	}
	w.codec.generation = generation
	w.codec.listBytes = httpBytes(standin.EncodeList(generation, true, list))
	return w.codec.listBytes
}
