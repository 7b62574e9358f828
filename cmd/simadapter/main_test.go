package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards the replies to whole inputs: the batches in testdata/*.in give the replies in *.out,
// followed by the error if there is one.
func TestRepliesMatchTranscripts(t *testing.T) {
	inputs, err := filepath.Glob("testdata/*.in")
	if err != nil || len(inputs) == 0 {
		t.Fatalf("found no inputs in testdata (error %v)", err)
	}
	for _, input := range inputs {
		want, err := os.ReadFile(strings.TrimSuffix(input, ".in") + ".out")
		if err != nil {
			t.Fatal(err)
		}
		if got := playTranscript(t, input); got != string(want) {
			t.Errorf("%s:\n got %s\nwant %s", input, got, want)
		}
	}
}

// playTranscript returns the replies to the batches in a file, and the error if there is one.
func playTranscript(t *testing.T, path string) string {
	t.Helper()
	in, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	var out strings.Builder
	if err := run(in, &out); err != nil {
		out.WriteString("error: " + err.Error() + "\n")
	}
	return out.String()
}

// Guards that an error gives the line and the message, and wraps the cause.
func TestErrorsNameLineAndMessage(t *testing.T) {
	const begin = `{"msg":"Round","simTime":1000}` + "\n"

	err := run(strings.NewReader(begin+`{"msg":"Reminder","nodeId":9}`), io.Discard)
	var inLine *lineError
	if !errors.As(err, &inLine) || inLine.Line != 2 {
		t.Errorf("error %v, want a lineError of line 2", err)
	}
	var inMessage *messageError
	if !errors.As(err, &inMessage) || inMessage.Name != "Reminder" {
		t.Errorf("error %v, want a messageError of Reminder", err)
	}
	var notRunning *notRunningError
	if !errors.As(err, &notRunning) || notRunning.InstanceID != 9 {
		t.Errorf("error %v, want a notRunningError of instance 9", err)
	}

	for input, want := range map[string]error{
		begin:                               errInputEndsInBatch,
		begin + begin:                       errWrongBatchState,
		`{"msg":"Go"}`:                      errWrongBatchState,
		begin + `{"msg":"Reminder"}` + "\n": errNoInstanceID,
	} {
		if err := run(strings.NewReader(input), io.Discard); !errors.Is(err, want) {
			t.Errorf("input %q: error %v, want %v", input, err, want)
		}
	}
}
