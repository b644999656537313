package demo

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"
)

// classResult counts the requests of one class by result.
type classResult struct {
	served, rejected, failed, lost int
	retried                        int // requests with more than one attempt
	latencies                      []time.Duration
}

// record counts a request by status. A request that ended with an error counts as lost.
func (r *classResult) record(status int, err error, latency time.Duration, attempts int) {
	switch {
	case err != nil:
		r.lost++
	case status == http.StatusOK:
		r.served++
		r.latencies = append(r.latencies, latency)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		r.rejected++
	default:
		r.failed++
	}
	if attempts > 1 {
		r.retried++
	}
}

// recordAttempt counts an attempt that has reached a server.
func (d *demonstration) recordAttempt(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts[id]++
}

// writeProgress writes the current counts. On a terminal it overwrites the previous line. Otherwise it writes one
// line per second.
func (d *demonstration) writeProgress(out io.Writer, terminal bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	served, rejected, failed := 0, 0, 0
	for _, class := range d.classes {
		served, rejected, failed = served+class.served, rejected+class.rejected, failed+class.failed
	}
	since := time.Since(d.trafficStart)
	line := fmt.Sprintf("%4.1f s  sent %d  in flight %d  served %d  refused %d  failed %d",
		since.Seconds(), d.sent, d.inFlight, served, rejected, failed)
	if terminal {
		_, _ = fmt.Fprintf(out, "\r\x1b[K%s", line)
	} else if since.Truncate(time.Second) > (since - progressInterval).Truncate(time.Second) {
		_, _ = fmt.Fprintln(out, line)
	}
}

// report writes the results by class, and the number of bookings that the servers executed. It returns an error if a
// request was not answered or a booking was executed twice.
func (d *demonstration) report(out io.Writer) error {
	var text bytes.Buffer // its writes return no errors
	lost := d.writeClasses(&text)
	bookings := 0
	var duplicates []string
	for id, executions := range d.executions {
		if !d.bookings[id] {
			continue
		}
		bookings++
		if executions > 1 {
			duplicates = append(duplicates, id)
		}
	}
	fmt.Fprintf(&text, "\n%d bookings reached a server, and %d of them ran twice.\n", bookings, len(duplicates))
	if d.deduplicated > 0 {
		fmt.Fprintf(&text, "Servers dropped %d repeats of a cancellation by its key.\n", d.deduplicated)
	}
	broken := len(duplicates) > 0 || lost > 0
	if !broken {
		fmt.Fprintln(&text, "Every request had one answer.")
	}
	if _, err := out.Write(text.Bytes()); err != nil {
		return err
	}
	if broken {
		return fmt.Errorf("demo: %d requests without an answer, bookings that ran twice: %v", lost, duplicates)
	}
	return nil
}

// writeClasses writes a line for each class, and returns the number of lost requests.
func (d *demonstration) writeClasses(text *bytes.Buffer) (lost int) {
	fmt.Fprintln(text)
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "class\tserved\trefused\tfailed\tretried\tp50\tp99\t")
	for _, class := range Settings().Classes {
		result := d.classes[class.Name]
		slices.Sort(result.latencies)
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n",
			class.Name, result.served, result.rejected, result.failed, result.retried,
			formatQuantile(result.latencies, 0.5), formatQuantile(result.latencies, 0.99))
		lost += result.lost
	}
	_ = table.Flush()
	return lost
}

// formatQuantile returns the quantile q of sorted in milliseconds, or a dash if sorted is empty.
func formatQuantile(sorted []time.Duration, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", sorted[int(q*float64(len(sorted)-1))].Milliseconds())
}
