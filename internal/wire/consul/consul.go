// Package consul builds requests to Consul's HTTP API and decodes its responses, as published: health and catalogue
// entries of a service, and blocking queries (developer.hashicorp.com/consul/api-docs/health, .../features/blocking,
// .../features/consistency). It decodes the entries of a response one by one and converts each to a listing for
// package membership. It opens no connections.
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

// Consistency is how recent a response must be.
type Consistency string

// The consistency modes: Consul's default; the state of any server; state that the leader has confirmed.
const (
	Default    Consistency = ""
	Stale      Consistency = "stale"
	Consistent Consistency = "consistent"
)

// Query is a request for a service's instances with the state of their checks.
type Query struct {
	Service     string
	Datacenter  string // empty = the agent's own
	Filter      string // filter expression in Consul's syntax, applied by the servers
	Consistency Consistency
	Index       uint64        // index of the previous response; 0 = none: the request is answered at once
	Wait        time.Duration // how long the request may wait for a newer index
}

// Path returns the request's path with its query parameters.
func (q *Query) Path() string {
	values := url.Values{}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set("dc", q.Datacenter)
	set("filter", q.Filter)
	if q.Index > 0 {
		values.Set("index", strconv.FormatUint(q.Index, 10))
		values.Set("wait", strconv.FormatInt(max(q.Wait.Milliseconds(), 1), 10)+"ms")
	}
	path := "/v1/health/service/" + url.PathEscape(q.Service)
	if q.Consistency != Default {
		values.Set(string(q.Consistency), "")
	}
	if len(values) == 0 {
		return path
	}
	return path + "?" + values.Encode()
}

// ResponseMeta holds the values in the headers of a response.
type ResponseMeta struct {
	Index       uint64
	LastContact time.Duration // time since the answering server last heard from its leader
	NoLeader    bool          // reports whether the server knows of no leader
}

// ParseResponseMeta parses the headers of a response. An index below 1 is replaced by 1, as Consul's documentation of
// blocking queries demands. It returns an error if a value is missing or invalid.
func ParseResponseMeta(header http.Header) (ResponseMeta, error) {
	var meta ResponseMeta
	index, err := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return meta, fmt.Errorf("X-Consul-Index is %q", header.Get("X-Consul-Index"))
	}
	meta.Index = max(index, 1)
	if text := header.Get("X-Consul-LastContact"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 40)
		if err != nil {
			return meta, fmt.Errorf("X-Consul-LastContact is %q", text)
		}
		meta.LastContact = time.Duration(ms) * time.Millisecond
	}
	meta.NoLeader = header.Get("X-Consul-KnownLeader") == "false"
	return meta, nil
}

// Instance is an entry of a response, limited to the fields that are used.
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

// Limits bounds the size of a response.
type Limits struct {
	MaxBytes   int64 // of the whole response; 32 MiB by default
	MaxEntries int   // 20,000 by default
}

// WithDefaults returns the limits with unset fields replaced by their defaults.
func (l Limits) WithDefaults() Limits {
	if l.MaxBytes == 0 {
		l.MaxBytes = 32 << 20
	}
	if l.MaxEntries == 0 {
		l.MaxEntries = 20_000
	}
	return l
}

// The errors that Decode returns.
var (
	ErrTooLong   = errors.New("the answer is too long")
	ErrMalformed = errors.New("the answer is no list of instances")
)

// limitedReader reads up to a number of bytes and then returns ErrTooLong, unlike io.LimitedReader, so that the limit
// can be told from an early end of the input.
type limitedReader struct {
	reader    io.Reader
	remaining int64
}

func (c *limitedReader) Read(buf []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, ErrTooLong
	}
	n, err := c.reader.Read(buf[:min(int64(len(buf)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

// Decode decodes the entries of a response and passes each to handle, so that a long response is never in memory as a
// whole. After an error the caller must discard the entries passed so far, since the response is incomplete or
// invalid. Errors wrap ErrTooLong or ErrMalformed.
func Decode(body io.Reader, limits Limits, handle func(*Instance)) error {
	limits = limits.WithDefaults()
	decoder := json.NewDecoder(&limitedReader{body, limits.MaxBytes})
	fail := func(err error) error {
		if errors.Is(err, ErrTooLong) {
			return fmt.Errorf("%w: more than %d bytes", ErrTooLong, limits.MaxBytes)
		}
		return fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	token, err := decoder.Token()
	if err != nil {
		return fail(err)
	}
	if token == nil { // null: a service without instances; Go's encoder writes an empty list this way
		return nil
	}
	if token != json.Delim('[') {
		return fail(fmt.Errorf("it begins with %v", token))
	}
	for count := 0; decoder.More(); count++ {
		if count >= limits.MaxEntries {
			return fmt.Errorf("%w: more than %d instances", ErrTooLong, limits.MaxEntries)
		}
		var instance Instance
		if err := decoder.Decode(&instance); err != nil {
			return fail(err)
		}
		handle(&instance)
	}
	if _, err := decoder.Token(); err != nil {
		return fail(err)
	}
	return nil
}

// Mapping defines how an installation expresses group, zone, role and start time in Consul. The keys are those of the
// service's metadata or, where it lacks the key, of the node's.
type Mapping struct {
	Group        int    // of the service, used where the metadata has no group
	GroupKey     string // "group" by default
	ZoneKey      string // "zone" by default; without a value, the zone is the data center
	RoleKey      string // "role" by default; without a value, the tags primary, master, leader, replica, secondary, standby and slave give the role
	StartTimeKey string // "started" by default: Unix seconds, or milliseconds if the number is too large for seconds
}

// WithDefaults returns the mapping with unset keys replaced by their defaults.
func (m Mapping) WithDefaults() Mapping {
	for _, option := range []struct {
		key        *string
		defaultKey string
	}{{&m.GroupKey, "group"}, {&m.ZoneKey, "zone"}, {&m.RoleKey, "role"}, {&m.StartTimeKey, "started"}} {
		if *option.key == "" {
			*option.key = option.defaultKey
		}
	}
	return m
}

var roles = map[string]membership.Role{"primary": membership.Primary, "master": membership.Primary, "leader": membership.Primary,
	"replica": membership.Replica, "secondary": membership.Replica, "standby": membership.Replica, "slave": membership.Replica}

// Listing converts an entry to a listing. It returns an error if the entry has no ID, or an invalid address, port or
// group.
func (m *Mapping) Listing(instance *Instance) (membership.Listing, error) {
	meta := func(key string) string {
		if value, ok := instance.Service.Meta[key]; ok {
			return value
		}
		return instance.Node.Meta[key]
	}
	listing := membership.Listing{ID: instance.Service.ID, Zone: meta(m.ZoneKey), Group: m.Group, Weight: 1}
	if listing.ID == "" {
		return listing, errors.New("an instance without an id")
	}
	host := instance.Service.Address
	if host == "" {
		host = instance.Node.Address
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return listing, fmt.Errorf("instance %s: its address %q is a name, which is not looked up", listing.ID, host)
	}
	if instance.Service.Port <= 0 || instance.Service.Port > 65535 {
		return listing, fmt.Errorf("instance %s: port %d", listing.ID, instance.Service.Port)
	}
	listing.Address = net.JoinHostPort(ip.String(), strconv.Itoa(instance.Service.Port))
	if listing.Zone == "" {
		listing.Zone = instance.Node.Datacenter
	}
	if text := meta(m.GroupKey); text != "" {
		if listing.Group, err = strconv.Atoi(text); err != nil || listing.Group < 0 {
			return listing, fmt.Errorf("instance %s: %s is %q, a number was expected", listing.ID, m.GroupKey, text)
		}
	}
	if listing.Role = roles[strings.ToLower(meta(m.RoleKey))]; listing.Role == membership.NoRole {
		for _, tag := range instance.Service.Tags {
			if role := roles[strings.ToLower(tag)]; role != membership.NoRole {
				listing.Role = role
				break
			}
		}
	}
	if text := meta(m.StartTimeKey); text != "" {
		if number, err := strconv.ParseInt(text, 10, 64); err == nil && number > 0 {
			if listing.Started = time.Duration(number) * time.Second; number > 1e11 { // too large for seconds
				listing.Started = time.Duration(number) * time.Millisecond
			}
		}
	}
	if weight := instance.Service.Weights.Passing; weight > 0 {
		listing.Weight = float64(weight)
	}
	listing.Health = instanceHealth(instance)
	if meta("draining") == "true" && listing.Health < membership.Draining {
		listing.Health = membership.Draining
	}
	for _, tag := range instance.Service.Tags {
		if strings.EqualFold(tag, "draining") && listing.Health < membership.Draining {
			listing.Health = membership.Draining
		}
	}
	return listing, nil
}

// instanceHealth returns the worst state of an entry's checks. Maintenance of the node or the service takes
// precedence.
func instanceHealth(instance *Instance) membership.Health {
	worst := membership.Passing
	for _, check := range instance.Checks {
		switch {
		case check.CheckID == "_node_maintenance" || strings.HasPrefix(check.CheckID, "_service_maintenance:"):
			return membership.Maintenance
		case check.Status == "critical":
			worst = membership.Critical
		case check.Status == "warning" && worst == membership.Passing:
			worst = membership.Warning
		case check.Status == "maintenance":
			return membership.Maintenance
		}
	}
	return worst
}
