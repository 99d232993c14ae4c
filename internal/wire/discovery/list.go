package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// List is the list of databases, or what has changed of it.
type List struct {
	Generation int64
	Whole      bool
	Instances  []Instance
}

// Instance is one database.
type Instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Group     int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"` // Unix time; 0 = long ago
}

// The lifecycles.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// StepEntries is how many entries of a list are read between two pauses.
const StepEntries = 64

// errTrailing tells of text behind the end of a list.
var errTrailing = errors.New("text behind the end of the list")

// ParseList reads a list. Unknown names are passed over; an unknown lifecycle makes the list unusable, since
// either guess, to send or not to, could be wrong.
func ParseList(text []byte) (List, error) { return ParseListInSteps(text, func() {}) }

// ParseListInSteps is ParseList with a pause after each StepEntries entries, so that a caller with a small share of a core does not hold up all
// else for as long as a list of thousands takes.
func ParseListInSteps(text []byte, pause func()) (List, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	l, err := DecodeList(decoder, pause)
	if err == nil {
		if _, end := decoder.Token(); !errors.Is(end, io.EOF) {
			err = fmt.Errorf("list of databases: %w", errTrailing)
		}
	}
	return l, err
}

// DecodeList reads a list that stands next in a JSON text, as ParseListInSteps says.
func DecodeList(decoder *json.Decoder, pause func()) (l List, err error) {
	if err = l.decode(decoder, pause); err != nil {
		return List{}, fmt.Errorf("list of databases: %w", err)
	}
	return l, nil
}

func (l *List) decode(decoder *json.Decoder, pause func()) error {
	if opened, err := open(decoder, '{'); err != nil || !opened {
		return err
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return err
		}
		switch name {
		case "generation":
			err = decoder.Decode(&l.Generation)
		case "reset":
			err = decoder.Decode(&l.Whole)
		case "instances":
			err = l.decodeInstances(decoder, pause)
		default:
			err = decoder.Decode(&json.RawMessage{})
		}
		if err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}

func (l *List) decodeInstances(decoder *json.Decoder, pause func()) error {
	l.Instances = nil
	if opened, err := open(decoder, '['); err != nil || !opened {
		return err
	}
	for decoder.More() {
		var e Instance
		if err := decoder.Decode(&e); err != nil {
			return err
		}
		if err := e.check(); err != nil {
			return err
		}
		if l.Instances = append(l.Instances, e); len(l.Instances)%StepEntries == 0 {
			pause()
		}
	}
	_, err := decoder.Token()
	return err
}

// open reads the bracket that opens an object or an array; false = null stands in its place.
func open(decoder *json.Decoder, bracket json.Delim) (bool, error) {
	token, err := decoder.Token()
	if err != nil || token == nil {
		return false, err
	}
	if token != bracket {
		return false, fmt.Errorf("%v, where %v was expected", token, bracket)
	}
	return true, nil
}

func (e *Instance) check() error {
	if e.ID == "" {
		return errors.New("an entry has no instanceId")
	}
	switch e.Lifecycle {
	case InService, Terminating, Terminated:
		return nil
	}
	return fmt.Errorf("%s: unknown lifecycle %q", e.ID, e.Lifecycle)
}
