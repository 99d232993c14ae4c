package analysis

// MetricName names a cost that is fitted against size.
type MetricName string

// The metrics.
const (
	MetricProbes              MetricName = "probes"
	MetricControlBytes        MetricName = "control-bytes"
	MetricControlMessages     MetricName = "control-messages"
	MetricControlCPU          MetricName = "control-cpu"
	MetricTotalCPU            MetricName = "total-cpu"
	MetricMemory              MetricName = "memory"
	MetricDescriptors         MetricName = "descriptors"
	MetricDatabaseConnections MetricName = "database-connections"
	MetricProxyConnections    MetricName = "proxy-connections"
	MetricDatabaseProbes      MetricName = "database-probes"
	MetricDiscoveryCalls      MetricName = "discovery-calls"
	MetricDiscoveryBytes      MetricName = "discovery-bytes"
	MetricLeaderCPU           MetricName = "leader-cpu"
	MetricLeaderMemory        MetricName = "leader-memory"
	MetricLeaderBytes         MetricName = "leader-bytes"
)

// Metric says how a cost is read from a measurement.
type Metric struct {
	Name  MetricName
	Label string // what a table calls it
	Unit  string // of its values
	of    func(*Measurement) Sample
}

// Of reads the metric from a measurement; the sample is not Measured where it was not counted.
func (m Metric) Of(x *Measurement) Sample { return m.of(x) }

// Metrics are all costs that are fitted, in the order in which tables show them.
var Metrics = []Metric{
	{MetricProbes, "health checks", "1/s and proxy", func(x *Measurement) Sample { return x.ProbesPerProxy }},
	{MetricControlBytes, "control traffic, both ways", "B/s and proxy", controlBytes},
	{MetricControlMessages, "control messages, both ways", "1/s and proxy", controlMessages},
	{MetricControlCPU, "CPU for control", "cores a proxy", func(x *Measurement) Sample { return x.ControlCPU }},
	{MetricTotalCPU, "CPU in all", "cores a proxy", func(x *Measurement) Sample { return x.TotalCPU }},
	{MetricMemory, "memory", "B a proxy", func(x *Measurement) Sample { return x.Memory }},
	{MetricDescriptors, "descriptors", "a proxy", func(x *Measurement) Sample { return x.Descriptors }},
	{MetricDatabaseConnections, "connections to a database", "a database", func(x *Measurement) Sample { return x.ConnectionsPerDatabase }},
	{MetricProxyConnections, "connections of a proxy", "a proxy", func(x *Measurement) Sample { return x.ConnectionsPerProxy }},
	{MetricDatabaseProbes, "health checks at a database", "1/s and database", func(x *Measurement) Sample { return x.ProbesPerDatabase }},
	{MetricDiscoveryCalls, "calls to discovery", "1/s", func(x *Measurement) Sample { return x.DiscoveryCalls }},
	{MetricDiscoveryBytes, "bytes of discovery", "B/s", func(x *Measurement) Sample { return x.DiscoveryBytes }},
	{MetricLeaderCPU, "leader: CPU", "cores", leader(func(p *Process) Sample { return p.CPU })},
	{MetricLeaderMemory, "leader: memory", "B", leader(func(p *Process) Sample { return p.Memory })},
	{MetricLeaderBytes, "leader: bytes, both ways", "B/s", leader(func(p *Process) Sample { return sum(p.Sent, p.Received) })},
}

// MetricByName finds a metric.
func MetricByName(name MetricName) (Metric, bool) {
	for _, m := range Metrics {
		if m.Name == name {
			return m, true
		}
	}
	return Metric{}, false
}

// sum adds samples that were counted over the same intervals. Its peak is an upper bound: the peaks need not fall together.
func sum(samples ...Sample) Sample {
	var all Sample
	for _, s := range samples {
		all.Mean += s.Mean
		all.Peak += s.Peak
		all.Busiest += s.Busiest
		all.Seconds = max(all.Seconds, s.Seconds)
	}
	return all
}

// control adds up a part of the traffic of all kinds of control.
func control(x *Measurement, part func(Traffic) Sample) Sample {
	var all Sample
	for _, t := range x.Traffic {
		if t.Kind.Control() {
			all = sum(all, part(t))
		}
	}
	return all
}

func controlBytes(x *Measurement) Sample {
	if x.ControlBytes.Measured() {
		return x.ControlBytes
	}
	return control(x, func(t Traffic) Sample { return t.Bytes })
}

func controlMessages(x *Measurement) Sample {
	return control(x, func(t Traffic) Sample { return t.Messages })
}

// leader reads a sample of the planner that leads.
func leader(of func(*Process) Sample) func(*Measurement) Sample {
	return func(x *Measurement) Sample {
		for i := range x.Processes {
			if x.Processes[i].Role == RoleLeader {
				return of(&x.Processes[i])
			}
		}
		return Sample{}
	}
}
