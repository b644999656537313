package cli

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/report"
	"cobaltward/emulator/result"

	"github.com/spf13/cobra"
)

// writeResults prints a result and writes it to the files given by flags. It returns an error if the result is
// invalid or a rule was broken.
func (r *rehearsal) writeResults(command *cobra.Command, measured *result.Result, extensions Extensions) error {
	if err := report.Text(command.OutOrStdout(), measured); err != nil {
		return err
	}
	writeJSON := func(out io.Writer) error { return report.JSON(out, measured) }
	if err := createFile(r.jsonPath, writeJSON); err != nil {
		return err
	}
	writeHTML := func(out io.Writer) error { return extensions.WriteHTML(out, measured) }
	if err := createFile(r.htmlPath, writeHTML); err != nil {
		return err
	}
	switch {
	case measured.InvalidReason != "":
		return fmt.Errorf("rehearse: void: %s", measured.InvalidReason)
	case !measured.Verdict.Passed():
		return errors.New("rehearse: rules were broken")
	}
	return nil
}

// outcomeWriter writes a CSV file with a line for each request. The method close does nothing on a nil pointer.
type outcomeWriter struct {
	printer
	plan   *plan.Plan
	file   *os.File
	buffer *bufio.Writer
}

// newOutcomeWriter creates the file at path and writes the header line. If path is empty, it returns nil.
func newOutcomeWriter(path string, runPlan *plan.Plan) (*outcomeWriter, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	buffer := bufio.NewWriter(file)
	writer := &outcomeWriter{printer: printer{out: buffer}, plan: runPlan, file: file, buffer: buffer}
	writer.printf("id,at_s,class,workspace,zone,end,took_ms,tries,attempts,faults\n")
	return writer, nil
}

// add writes the line for one request.
func (w *outcomeWriter) add(request *plan.Request, outcome result.Outcome) {
	var faults []string
	for _, fault := range outcome.Faults {
		faults = append(faults, w.plan.Faults[fault].Label())
	}
	site := w.plan.Script
	latencyMS := float64(outcome.Latency) / float64(time.Millisecond)
	w.printf("%s,%.6f,%s,%s,%s,%v,%.3f,%d,%d,%s\n", request.ID, request.At.Seconds(),
		site.Classes[request.Class].Name, site.Tenants[request.Tenant].Name, request.Zone, outcome.Status,
		latencyMS, outcome.ClientAttempts, outcome.ServerAttempts, strings.Join(faults, "; "))
}

// close flushes and closes the file. It also returns the error of an earlier write.
func (w *outcomeWriter) close() error {
	if w == nil {
		return nil
	}
	return errors.Join(w.err, w.buffer.Flush(), w.file.Close())
}
