package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// List is the list of databases or, unless Whole is set, the changes to it.
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
	StartedMs int64   `json:"startedAtMs"` // Unix milliseconds; 0 = long ago
}

// The values of Instance.Lifecycle.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// EntriesPerPause is the number of list entries that are decoded between two pauses.
const EntriesPerPause = 64

// errTrailing is returned for text after the end of a list.
var errTrailing = errors.New("text after the end of the list")

// ParseList parses a list. Unknown JSON names are ignored. An unknown lifecycle makes the list invalid, since it does
// not tell whether requests may be sent to the database. An entry without an ID is an error too.
func ParseList(text []byte) (List, error) { return ParseListWithPauses(text, func() {}) }

// ParseListWithPauses is ParseList with a call of pause after each EntriesPerPause entries, so that a process with a
// small share of a CPU core can do other work while it parses a list of thousands.
func ParseListWithPauses(text []byte, pause func()) (List, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	list, err := DecodeList(decoder, pause)
	if err == nil {
		if _, trailing := decoder.Token(); !errors.Is(trailing, io.EOF) {
			err = fmt.Errorf("list of databases: %w", errTrailing)
		}
	}
	return list, err
}

// DecodeList decodes the list that comes next in a JSON text, with pauses as in ParseListWithPauses.
func DecodeList(decoder *json.Decoder, pause func()) (list List, err error) {
	if err = list.decode(decoder, pause); err != nil {
		return List{}, fmt.Errorf("list of databases: %w", err)
	}
	return list, nil
}

func (l *List) decode(decoder *json.Decoder, pause func()) error {
	if opened, err := openBracket(decoder, '{'); err != nil || !opened {
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
	if opened, err := openBracket(decoder, '['); err != nil || !opened {
		return err
	}
	for decoder.More() {
		var instance Instance
		if err := decoder.Decode(&instance); err != nil {
			return err
		}
		if err := instance.check(); err != nil {
			return err
		}
		if l.Instances = append(l.Instances, instance); len(l.Instances)%EntriesPerPause == 0 {
			pause()
		}
	}
	_, err := decoder.Token()
	return err
}

// openBracket reads the bracket that opens an object or an array; false means that the value is null.
func openBracket(decoder *json.Decoder, bracket json.Delim) (bool, error) {
	token, err := decoder.Token()
	if err != nil || token == nil {
		return false, err
	}
	if token != bracket {
		return false, fmt.Errorf("got %v, want %v", token, bracket)
	}
	return true, nil
}

func (e *Instance) check() error {
	if e.ID == "" {
		return errors.New("entry without an instanceId")
	}
	switch e.Lifecycle {
	case InService, Terminating, Terminated:
		return nil
	}
	return fmt.Errorf("%s: unknown lifecycle %q", e.ID, e.Lifecycle)
}
