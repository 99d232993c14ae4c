// Package endpoints reports the addresses on which a program listens to its parent process. Each address may then be
// configured with port 0, and the parent need not guess a free port. Without a request for a report it does nothing.
package endpoints

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
)

// Variable is the name of the environment variable that requests a report. Its value is the number of an inherited
// descriptor that is open for writing, such as a pipe from the parent. The program writes one JSON object to it once
// all its listeners are open, and then closes it.
const Variable = "HAVEN_ENDPOINTS_FD"

// firstInherited is the lowest descriptor that is allowed; those below are the standard streams.
const firstInherited = 3

// Endpoints holds the addresses, as host:port, on which a program listens. An empty one means that there is no such
// listener.
type Endpoints struct {
	PostgreSQL string `json:"postgresql,omitempty"`
	MySQL      string `json:"mysql,omitempty"`
	Admin      string `json:"admin,omitempty"`
	Peers      string `json:"peers,omitempty"`
	Planner    string `json:"planner,omitempty"`
}

// Report writes the addresses to the descriptor named by Variable and closes it. It does nothing if Variable is not
// set.
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

// Read reads a report. The error is io.EOF if the program ended without one.
func Read(r io.Reader) (Endpoints, error) {
	var e Endpoints
	err := json.NewDecoder(r).Decode(&e)
	return e, err
}
