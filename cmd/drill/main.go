// Command drill runs routers in the simulator: it reads frames of events from standard input and writes the routers'
// actions to standard output. It contains no routing logic.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"havenproxy/internal/wire/peers"
	"havenproxy/internal/wire/settings"
	"havenproxy/internal/wire/sim"
	"havenproxy/logic"
)

// holdRequests makes routers hold requests while their group has no primary.
var holdRequests = flag.Bool("hold", false, "hold requests that need a primary while there is none, if that is expected to pay off")

func main() {
	flag.Parse()
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// instance is a router with the format of the load reports in its records.
type instance struct {
	router *logic.Router // nil if its settings are invalid
	format sim.ReportFormat
}

// host runs the instances of this process. They share only the reply buffer.
type host struct {
	instances map[uint32]*instance
	out       sim.Encoder
}

// run handles batches from in until it ends and writes a reply to out for each. It returns an error for a batch that can't
// be decoded, or a failed write.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint32]*instance{}}
	decoder, writer := sim.NewDecoder(in), bufio.NewWriterSize(out, 1<<16)
	for {
		batch, err := decoder.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = decoder.Decode(batch, h.reportFormat, func(e sim.Event) error { h.handle(batch.Now, e); return nil })
		}
		if err == nil {
			err = h.out.Flush(writer)
		}
		if err != nil {
			return err
		}
	}
}

// reportFormat returns the report format of an instance, and whether the instance exists.
func (h *host) reportFormat(id uint32) (sim.ReportFormat, bool) {
	in, ok := h.instances[id]
	if !ok {
		return sim.ReportFormat{}, false
	}
	return in.format, true
}

// handle passes an event to its instance's router.
func (h *host) handle(now time.Duration, e sim.Event) {
	h.out.Instance, h.out.Now = e.Instance, now
	switch e.Kind {
	case sim.InstanceStart:
		h.start(e)
		return
	case sim.InstanceStop:
		delete(h.instances, e.Instance)
		return
	}
	r := h.instances[e.Instance].router
	if r == nil {
		return
	}
	switch e.Kind {
	case sim.MemberListUpdate:
		r.Members(now, e.Members)
	case sim.RequestArrival:
		r.Request(now, e.Request)
	case sim.ResponseStart:
		r.ResponseStarted(now, e.RequestID, e.Attempt)
	case sim.AttemptOutcome:
		r.Outcome(now, e.Outcome)
	case sim.ProbeEnd:
		r.Probed(now, e.Probe)
	case sim.PeerMessage:
		if reports, err := peers.Parse(nil, e.Message, now, now); err == nil {
			r.PeerReports(now, reports)
		}
	case sim.TimerExpiry:
		r.Timer(now, e.Timer)
	case sim.RequestAbandoned:
		r.Abandoned(now, e.RequestID)
	}
}

// start creates the instance that e announces. If its settings are invalid, it reports the failure and keeps the instance
// without a router, so that its later events are ignored.
func (h *host) start(e sim.Event) {
	in := &instance{}
	h.instances[e.Instance] = in
	parsed, err := settings.Parse(e.Settings, e.Seed)
	if err == nil {
		parsed.Config.Handover.Hold = *holdRequests
		in.format = sim.ReportFormat{Origin: parsed.PositionOrigin, Fields: parsed.ReportFields}
		in.router, err = logic.New(parsed.Config, &h.out)
	}
	if err != nil {
		h.out.ReportFailure(err.Error())
	}
}
