// Package endpoints tells a parent process the addresses on which a program listens, so that each of them may be configured with port 0 and
// the parent need not guess a free port. It does nothing for a program that was not asked for a report.
package endpoints

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
)

// Variable names the environment variable that asks for a report. Its value is the number of an inherited descriptor, open for writing: a pipe
// of the parent's. The program writes one JSON object to it once all its listeners are open, and closes it.
const Variable = "HAVEN_ENDPOINTS_FD"

// firstInherited is the least descriptor that may be named: those below are the standard streams.
const firstInherited = 3

// Endpoints are the addresses, host and port, on which a program listens. An empty one means that it has no such listener.
type Endpoints struct {
	PostgreSQL string `json:"postgresql,omitempty"`
	MySQL      string `json:"mysql,omitempty"`
	Admin      string `json:"admin,omitempty"`
	Peers      string `json:"peers,omitempty"`
	Planner    string `json:"planner,omitempty"`
}

// Report writes the addresses to the descriptor that Variable names, and closes it. Without Variable it does nothing.
func (e Endpoints) Report() error {
	text := os.Getenv(Variable)
	if text == "" {
		return nil
	}
	descriptor, err := strconv.Atoi(text)
	if err != nil || descriptor < firstInherited {
		return fmt.Errorf("%s: %q is not an inherited descriptor", Variable, text)
	}
	file := os.NewFile(uintptr(descriptor), Variable)
	if file == nil {
		return fmt.Errorf("%s: %q is not an inherited descriptor", Variable, text)
	}
	defer file.Close()
	if err := json.NewEncoder(file).Encode(e); err != nil {
		return fmt.Errorf("%s: %w", Variable, err)
	}
	return nil
}

// Read reads a report. The error is io.EOF where the program ended without one.
func Read(r io.Reader) (Endpoints, error) {
	var e Endpoints
	err := json.NewDecoder(r).Decode(&e)
	return e, err
}
