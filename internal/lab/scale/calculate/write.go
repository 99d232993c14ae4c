package calculate

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"havenproxy/internal/lab/scale/analysis"
)

// WriteMarkdown writes all that can be calculated as Markdown tables; docs/CAPACITY.md holds this text between two markers.
func WriteMarkdown(out io.Writer, in Inputs) error {
	m, err := Encode(in)
	if err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "Calculated for %v: lease %v, bound on lists %v, policies of %d bytes.\n\n", in.Size, in.Lease, in.ListBound, in.PolicyBytes)
	text.WriteString("| message | bytes |\n| --- | --- |\n")
	for _, row := range m.rows() {
		fmt.Fprintf(&text, "| %s | %s |\n", row.name, digits(float64(row.bytes)))
	}
	text.WriteString("\n| role | what | formula | calculated |\n| --- | --- | --- | --- |\n")
	for _, f := range in.Figures(m) {
		fmt.Fprintf(&text, "| %s | %s | %s | %s |\n", f.Role, f.What, f.Formula, strings.TrimSpace(digits(f.Value)+" "+f.Unit))
	}
	in.writeBounds(&text, m)
	_, err = io.WriteString(out, text.String())
	return err
}

func (in Inputs) writeBounds(text *strings.Builder, m Messages) {
	text.WriteString("\n| lease | dead before the change | one more pauses meanwhile | and the leading planner dies | asks at the leader | bytes at the leader | bytes at a proxy |\n")
	text.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, in.Lease = range Leases {
		b := in.Bounds(m)
		fmt.Fprintf(text, "| %v | %s | %s | %s | %s/s | %s B/s | %s B/s |\n", b.Lease, seconds(b.Dead), seconds(b.Paused), seconds(b.LeaderLost),
			digits(b.AsksAtLeader), digits(b.BytesAtLeader), digits(b.BytesAtProxy))
	}
	fmt.Fprintf(text, "\nThe longest lease that keeps %v: %v with proxies dead, %v with one more that pauses, %v with the leading planner dying as well.\n", analysis.BudgetPolicy,
		in.LongestLease(analysis.BudgetPolicy, func(b PolicyBounds) time.Duration { return b.Dead }),
		in.LongestLease(analysis.BudgetPolicy, func(b PolicyBounds) time.Duration { return b.Paused }),
		in.LongestLease(analysis.BudgetPolicy, func(b PolicyBounds) time.Duration { return b.LeaderLost }))
}

// messageRow is one line of the table of messages.
type messageRow struct {
	name  string
	bytes int
}

func (m *Messages) rows() []messageRow {
	return []messageRow{
		{"health check (`wire/pg`), asked", m.ProbeQuery}, {"answered", m.ProbeReply},
		{"watch of the list (`wire/discovery`), asked", m.ListCall}, {"answered without news", m.ListEmpty}, {"one entry", m.ListEntry}, {"the whole list", m.ListWhole},
		{"peers' datagram (`wire/peers`): head", m.PeerHead}, {"one fact", m.PeerFact}, {"as many as it holds", m.PeerFull},
		{"lease (`wire/tier`), asked", m.Renew}, {"granted", m.Granted},
		{"change of policy: offered", m.Offer}, {"agreed", m.Agree}, {"hold", m.Hold}, {"held", m.Held}, {"in force", m.InForce},
		{"join, asked", m.Hello}, {"answered, with the policy", m.Welcome},
		{"the tier's members, where checks are shared: all", m.MembersWhole}, {"one that has restarted", m.MembersChange},
		{"planners' heartbeat", m.Heartbeat}, {"its answer", m.HeartbeatReply}, {"log entry of a join", m.JoinCommand}, {"planners' state", m.State},
		{"operator's `policy status`, answered", m.Status},
	}
}

// digits writes a figure with its thousands apart.
func digits(x float64) string {
	switch {
	case x == math.Trunc(x) && math.Abs(x) < 1000:
		return strconv.FormatFloat(x, 'f', 0, 64)
	case math.Abs(x) < 1:
		return strconv.FormatFloat(x, 'g', 3, 64)
	case math.Abs(x) < 100:
		return strconv.FormatFloat(x, 'f', 2, 64)
	}
	text := strconv.FormatFloat(x, 'f', 0, 64)
	sign := ""
	if text[0] == '-' {
		sign, text = "-", text[1:]
	}
	for at := len(text) - 3; at > 0; at -= 3 {
		text = text[:at] + "," + text[at:]
	}
	return sign + text
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
