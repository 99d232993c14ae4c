// Command drill hosts routers on the simulator's wire: bytes in, events; actions, bytes out. It decides nothing.
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

// hold tells whether requests are held while a group has no primary.
var hold = flag.Bool("hold", false, "hold requests that need a primary while there is none, where that pays")

func main() {
	flag.Parse()
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// instance is one router and what is needed to read its records.
type instance struct {
	router *logic.Router // nil where its settings were unusable
	scale  sim.Scale
}

// host holds the instances of this process. They share the reply buffer and nothing else.
type host struct {
	instances map[uint32]*instance
	out       sim.Encoder
}

func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint32]*instance{}}
	dec, w := sim.NewDecoder(in), bufio.NewWriterSize(out, 1<<16)
	for {
		b, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = dec.Each(b, h.scale, func(e sim.Event) error { h.handle(b.Now, e); return nil })
		}
		if err == nil {
			err = h.out.Flush(w)
		}
		if err != nil {
			return err
		}
	}
}

func (h *host) scale(id uint32) (sim.Scale, bool) {
	in, ok := h.instances[id]
	if !ok {
		return sim.Scale{}, false
	}
	return in.scale, true
}

func (h *host) handle(now time.Duration, e sim.Event) {
	h.out.Instance, h.out.Now = e.Instance, now
	switch e.Kind {
	case sim.Hello:
		h.start(e)
		return
	case sim.Retire:
		delete(h.instances, e.Instance)
		return
	}
	r := h.instances[e.Instance].router
	if r == nil {
		return
	}
	switch e.Kind {
	case sim.Members:
		r.Members(now, e.List)
	case sim.Submit:
		r.Request(now, e.Request)
	case sim.Head:
		r.ResponseStarted(now, e.ID, e.Attempt)
	case sim.Outcome:
		r.Outcome(now, e.Outcome)
	case sim.Probed:
		r.Probed(now, e.Probed)
	case sim.Datagram:
		if facts, err := peers.Parse(nil, e.Message, now, now); err == nil {
			r.PeerReports(now, facts)
		}
	case sim.Timer:
		r.Timer(now, e.Timer)
	case sim.Abandoned:
		r.Abandoned(now, e.ID)
	}
}

func (h *host) start(e sim.Event) {
	in := &instance{}
	h.instances[e.Instance] = in
	s, err := settings.Parse(e.Settings, e.Seed)
	if err == nil {
		s.Config.Handover.Hold = *hold
		in.scale = sim.Scale{Origin: s.Origin, Fields: s.Fields}
		in.router, err = logic.New(s.Config, &h.out)
	}
	if err != nil {
		h.out.GiveIn(err.Error())
	}
}
