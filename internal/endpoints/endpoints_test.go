package endpoints

import (
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
)

// reportTo writes a report to a duplicate of the pipe's descriptor, as to an inherited one.
func reportTo(t *testing.T, w *os.File, e Endpoints) error {
	t.Helper()
	descriptor, err := syscall.Dup(int(w.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	w.Close()
	t.Setenv(Variable, fmt.Sprint(descriptor))
	return e.Report()
}

func TestReportRoundTrip(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	want := Endpoints{PostgreSQL: "127.0.0.1:5432", MySQL: "127.0.0.1:3306", Peers: "127.0.0.1:7300"}
	if err := reportTo(t, w, want); err != nil {
		t.Fatal(err)
	}
	if got, err := Read(r); err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := r.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the descriptor stays open: %v", err)
	}
}

func TestEndWithoutReport(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	w.Close()
	if _, err := Read(r); err != io.EOF {
		t.Errorf("%v", err)
	}
}

func TestNoReportWithoutVariable(t *testing.T) {
	t.Setenv(Variable, "")
	if err := (Endpoints{PostgreSQL: "127.0.0.1:5432"}).Report(); err != nil {
		t.Error(err)
	}
}

func TestInvalidDescriptorRejected(t *testing.T) {
	for _, value := range []string{"pipe", "-1", "2", "999999"} {
		t.Setenv(Variable, value)
		if err := (Endpoints{}).Report(); err == nil {
			t.Errorf("%q is accepted", value)
		}
	}
}
