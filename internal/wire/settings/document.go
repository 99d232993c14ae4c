package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"havenproxy/internal/wire/discovery"
)

// Document is a configuration's text, split: the list of databases as last known, which may be long, and the rest.
type Document struct {
	Rest      []byte // JSON, without the list
	KnownList discovery.List
}

// errNoObject tells of a configuration that is no JSON object.
var errNoObject = errors.New("no object")

// Split reads a configuration's text. Between the parts of a long list it calls pause, as discovery.ParseListInSteps does. The error names what
// is wrong in one line.
func ParseDocument(text []byte, pause func()) (Document, error) {
	d := Document{KnownList: discovery.List{Generation: discovery.NoGeneration}}
	rest, err := d.split(json.NewDecoder(bytes.NewReader(text)), pause)
	if err != nil {
		return Document{}, fmt.Errorf("configuration: %w", err)
	}
	d.Rest, err = json.Marshal(rest)
	return d, err
}

func (d *Document) split(decoder *json.Decoder, pause func()) (map[string]json.RawMessage, error) {
	if token, err := decoder.Token(); err != nil {
		return nil, readable("", err)
	} else if token != json.Delim('{') {
		return nil, fmt.Errorf("not usable JSON: %w", errNoObject)
	}
	rest := map[string]json.RawMessage{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, readable("", err)
		}
		name, _ := token.(string)
		if name == "known" {
			if d.KnownList, err = discovery.DecodeList(decoder, pause); err != nil {
				return nil, fmt.Errorf("known: %w", err)
			}
			continue
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, readable("", err)
		}
		rest[name] = value
	}
	if _, err := decoder.Token(); err != nil {
		return nil, readable("", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("not usable JSON: text behind its end")
	}
	return rest, nil
}
