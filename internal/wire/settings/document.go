package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"havenproxy/internal/wire/discovery"
)

// Document is a configuration split into the last known list of databases, which may be long, and all other keys.
type Document struct {
	ConfigJSON     []byte // the configuration without the list of databases
	KnownDatabases discovery.List
}

// errNotObject is returned for a configuration that is not a JSON object.
var errNotObject = errors.New("no object")

// Split decodes a configuration's text. It calls pause between the parts of a long list, as discovery.ParseListWithPauses does.
// The error describes the first fault in one line.
func Split(text []byte, pause func()) (Document, error) {
	d := Document{KnownDatabases: discovery.List{Generation: discovery.NoGeneration}}
	values, err := d.decode(json.NewDecoder(bytes.NewReader(text)), pause)
	if err != nil {
		return Document{}, fmt.Errorf("configuration: %w", err)
	}
	d.ConfigJSON, err = json.Marshal(values)
	return d, err
}

// decode decodes the list of databases into d and returns the values of all other keys.
func (d *Document) decode(decoder *json.Decoder, pause func()) (map[string]json.RawMessage, error) {
	if token, err := decoder.Token(); err != nil {
		return nil, describeJSONError("", err)
	} else if token != json.Delim('{') {
		return nil, fmt.Errorf("not usable JSON: %w", errNotObject)
	}
	values := map[string]json.RawMessage{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, describeJSONError("", err)
		}
		name, _ := token.(string)
		if name == "known" {
			if d.KnownDatabases, err = discovery.DecodeList(decoder, pause); err != nil {
				return nil, fmt.Errorf("known: %w", err)
			}
			continue
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, describeJSONError("", err)
		}
		values[name] = value
	}
	if _, err := decoder.Token(); err != nil {
		return nil, describeJSONError("", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("not usable JSON: text behind its end")
	}
	return values, nil
}
