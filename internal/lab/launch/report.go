package launch

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"

	"havenproxy/internal/endpoints"
)

// ErrNoReport tells that a program ended before all its listeners were open.
var ErrNoReport = errors.New("the program ended before it reported its addresses")

// firstExtraFile is the descriptor in a child process of the first of exec.Cmd's ExtraFiles.
const firstExtraFile = 3

// Report is the parent's side of the report that a program makes of the addresses on which it listens.
type Report struct {
	reader, writer *os.File
}

// RequestReport lets a command that has yet to be started report its addresses. It sets the command's environment to this process's where none
// is set.
func RequestReport(cmd *exec.Cmd) (*Report, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	descriptor := firstExtraFile + len(cmd.ExtraFiles)
	cmd.ExtraFiles = append(cmd.ExtraFiles, writer)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", endpoints.Variable, descriptor))
	return &Report{reader, writer}, nil
}

// Read waits for the report. It is called once, after the command was started: this process's copy of the program's descriptor is closed here,
// so that the wait ends with the program.
func (r *Report) Read() (endpoints.Endpoints, error) {
	r.writer.Close()
	defer r.reader.Close()
	addresses, err := endpoints.Read(r.reader)
	if errors.Is(err, io.EOF) {
		err = ErrNoReport
	}
	return addresses, err
}

// Close gives the report up, for a command that could not be started.
func (r *Report) Close() {
	r.writer.Close()
	r.reader.Close()
}
