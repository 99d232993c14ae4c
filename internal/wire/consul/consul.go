// Package consul is what Consul's HTTP API speaks, as published: health and catalogue entries of a service, and blocking queries
// (developer.hashicorp.com/consul/api-docs/health, .../features/blocking, .../features/consistency). It makes the path of a call,
// reads an answer's headers and its entries one by one, and turns an entry into a fact for package membership. It opens nothing.
package consul

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"havenproxy/internal/membership"
)

// Consistency is how new an answer must be.
type Consistency string

// The modes: the default one, any server's word, or one that the leader has confirmed.
const (
	Default    Consistency = ""
	Stale      Consistency = "stale"
	Consistent Consistency = "consistent"
)

// Query is a call for a service's instances with the state of their checks.
type Query struct {
	Service     string
	Datacenter  string // empty = the agent's own
	Filter      string // in Consul's own language, applied by the servers
	Consistency Consistency
	Index       uint64        // the answer's that is in hand; 0 = none: the call is answered at once
	Wait        time.Duration // for something newer
}

// Path gives the call's path with its parameters.
func (q *Query) Path() string {
	v := url.Values{}
	set := func(name, value string) {
		if value != "" {
			v.Set(name, value)
		}
	}
	set("dc", q.Datacenter)
	set("filter", q.Filter)
	if q.Index > 0 {
		v.Set("index", strconv.FormatUint(q.Index, 10))
		v.Set("wait", strconv.FormatInt(max(q.Wait.Milliseconds(), 1), 10)+"ms")
	}
	path := "/v1/health/service/" + url.PathEscape(q.Service)
	if q.Consistency != Default {
		v.Set(string(q.Consistency), "")
	}
	if len(v) == 0 {
		return path
	}
	return path + "?" + v.Encode()
}

// Meta is what an answer's headers tell.
type ResponseMeta struct {
	Index       uint64
	LastContact time.Duration // of the answering server with its leader
	NoLeader    bool          // it knows of none
}

// ParseMeta reads the headers. An index below 1 stands for 1, as the pages on blocking queries ask.
func ParseResponseMeta(h http.Header) (ResponseMeta, error) {
	var m ResponseMeta
	index, err := strconv.ParseUint(h.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return m, fmt.Errorf("X-Consul-Index is %q", h.Get("X-Consul-Index"))
	}
	m.Index = max(index, 1)
	if text := h.Get("X-Consul-LastContact"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 40)
		if err != nil {
			return m, fmt.Errorf("X-Consul-LastContact is %q", text)
		}
		m.LastContact = time.Duration(ms) * time.Millisecond
	}
	m.NoLeader = h.Get("X-Consul-KnownLeader") == "false"
	return m, nil
}

// Instance is an entry of the answer, as far as it is of use.
type Instance struct {
	Node struct {
		Node       string
		Address    string
		Datacenter string
		Meta       map[string]string
	}
	Service struct {
		ID      string
		Address string
		Port    int
		Tags    []string
		Meta    map[string]string
		Weights struct{ Passing, Warning int }
	}
	Checks []struct {
		CheckID string
		Status  string
	}
}

// Limits bound what an answer may cost.
type Limits struct {
	MaxBytes   int64 // of the whole answer; 32 MiB
	MaxEntries int   // 20,000
}

// WithDefaults fills in what is not set.
func (l Limits) WithDefaults() Limits {
	if l.MaxBytes == 0 {
		l.MaxBytes = 32 << 20
	}
	if l.MaxEntries == 0 {
		l.MaxEntries = 20_000
	}
	return l
}

// The errors of an answer.
var (
	ErrTooLong   = errors.New("the answer is too long")
	ErrMalformed = errors.New("the answer is no list of instances")
)

// counted reads no more than so many bytes, and tells an end that came too early from one of its own making.
type counted struct {
	in   io.Reader
	left int64
}

func (c *counted) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := c.in.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	return n, err
}

// Decode reads an answer's entries, one at a time, so that a long one is never in memory as a whole. An error means that the
// answer is not whole or none; what was given before is to be forgotten.
func Decode(in io.Reader, limits Limits, each func(*Instance)) error {
	limits = limits.WithDefaults()
	d := json.NewDecoder(&counted{in, limits.MaxBytes})
	fail := func(err error) error {
		if errors.Is(err, ErrTooLong) {
			return fmt.Errorf("%w: more than %d bytes", ErrTooLong, limits.MaxBytes)
		}
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	t, err := d.Token()
	if err != nil {
		return fail(err)
	}
	if t == nil { // null: a service without instances, as Go's encoder writes an empty list
		return nil
	}
	if t != json.Delim('[') {
		return fail(fmt.Errorf("it begins with %v", t))
	}
	for n := 0; d.More(); n++ {
		if n >= limits.MaxEntries {
			return fmt.Errorf("%w: more than %d instances", ErrTooLong, limits.MaxEntries)
		}
		var i Instance
		if err := d.Decode(&i); err != nil {
			return fail(err)
		}
		each(&i)
	}
	if _, err := d.Token(); err != nil {
		return fail(err)
	}
	return nil
}

// Mapping says how an installation tells group, zone, role and start in Consul. Names are keys of the service's meta, or of the
// node's where the service has none.
type Mapping struct {
	Group        int    // of the service, where meta doesn't tell
	GroupKey     string // "group"
	ZoneKey      string // "zone"; where there is none, the data centre
	RoleKey      string // "role"; tags primary, master, leader, replica, secondary and standby tell it as well
	StartTimeKey string // "started": Unix seconds, or milliseconds where that can't be
}

// WithDefaults fills in what is not set.
func (m Mapping) WithDefaults() Mapping {
	for _, x := range []struct {
		to   *string
		word string
	}{{&m.GroupKey, "group"}, {&m.ZoneKey, "zone"}, {&m.RoleKey, "role"}, {&m.StartTimeKey, "started"}} {
		if *x.to == "" {
			*x.to = x.word
		}
	}
	return m
}

var roles = map[string]membership.Role{"primary": membership.Primary, "master": membership.Primary, "leader": membership.Primary,
	"replica": membership.Replica, "secondary": membership.Replica, "standby": membership.Replica, "slave": membership.Replica}

// Fact turns an entry into what membership knows. The error tells of one that can't be used.
func (m *Mapping) Listing(i *Instance) (membership.Listing, error) {
	meta := func(key string) string {
		if v, ok := i.Service.Meta[key]; ok {
			return v
		}
		return i.Node.Meta[key]
	}
	f := membership.Listing{ID: i.Service.ID, Zone: meta(m.ZoneKey), Group: m.Group, Weight: 1}
	if f.ID == "" {
		return f, errors.New("an instance without an id")
	}
	host := i.Service.Address
	if host == "" {
		host = i.Node.Address
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return f, fmt.Errorf("instance %s: its address %q is a name, which is not looked up", f.ID, host)
	}
	if i.Service.Port <= 0 || i.Service.Port > 65535 {
		return f, fmt.Errorf("instance %s: port %d", f.ID, i.Service.Port)
	}
	f.Address = net.JoinHostPort(ip.String(), strconv.Itoa(i.Service.Port))
	if f.Zone == "" {
		f.Zone = i.Node.Datacenter
	}
	if text := meta(m.GroupKey); text != "" {
		if f.Group, err = strconv.Atoi(text); err != nil || f.Group < 0 {
			return f, fmt.Errorf("instance %s: %s is %q, a number was expected", f.ID, m.GroupKey, text)
		}
	}
	if f.Role = roles[strings.ToLower(meta(m.RoleKey))]; f.Role == membership.NoRole {
		for _, t := range i.Service.Tags {
			if r := roles[strings.ToLower(t)]; r != membership.NoRole {
				f.Role = r
				break
			}
		}
	}
	if text := meta(m.StartTimeKey); text != "" {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil && n > 0 {
			if f.Started = time.Duration(n) * time.Second; n > 1e11 { // no second of this age
				f.Started = time.Duration(n) * time.Millisecond
			}
		}
	}
	if w := i.Service.Weights.Passing; w > 0 {
		f.Weight = float64(w)
	}
	f.Health = health(i)
	if meta("draining") == "true" && f.Health < membership.Draining {
		f.Health = membership.Draining
	}
	for _, t := range i.Service.Tags {
		if strings.EqualFold(t, "draining") && f.Health < membership.Draining {
			f.Health = membership.Draining
		}
	}
	return f, nil
}

// health is the worst of an entry's checks; maintenance, of the node or the service, is a drain.
func health(i *Instance) membership.Health {
	h := membership.Passing
	for _, c := range i.Checks {
		switch {
		case c.CheckID == "_node_maintenance" || strings.HasPrefix(c.CheckID, "_service_maintenance:"):
			return membership.Maintenance
		case c.Status == "critical":
			h = membership.Critical
		case c.Status == "warning" && h == membership.Passing:
			h = membership.Warning
		case c.Status == "maintenance":
			return membership.Maintenance
		}
	}
	return h
}
