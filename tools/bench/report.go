package main

import (
	"fmt"
	"slices"
	"time"
)

const reportHeader = "%s connections: subject, requests/s, p50, p99, CPU per request, not 200; " +
	"ratios to proxy of p50, p99, CPU (min median max)\n"

// printReport prints the median latencies and CPU time of each subject, and the request rate of the middle round. It
// also prints the ratios to the first subject in the same round.
func printReport(subjects []*subject, samples [][]sample, conns string) {
	fmt.Printf(reportHeader, conns)
	p50 := func(s sample) time.Duration { return s.p50 }
	p99 := func(s sample) time.Duration { return s.p99 }
	cpu := func(s sample) time.Duration { return s.cpu }
	base := samples[0]
	for i, subject := range subjects {
		subjectSamples := samples[i]
		failed := 0
		for _, s := range subjectSamples {
			failed += s.failed
		}
		fmt.Printf("  %-24s %7.0f  %8v %8v %8v  %d  | %s | %s | %s\n",
			subject.name, subjectSamples[len(subjectSamples)/2].rate,
			median(subjectSamples, p50).Round(time.Microsecond), median(subjectSamples, p99).Round(time.Microsecond),
			median(subjectSamples, cpu).Round(100*time.Nanosecond), failed,
			ratios(subjectSamples, base, p50), ratios(subjectSamples, base, p99), ratios(subjectSamples, base, cpu))
	}
}

func median(samples []sample, value func(sample) time.Duration) time.Duration {
	values := make([]time.Duration, 0, len(samples))
	for _, s := range samples {
		values = append(values, value(s))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// ratios divides the value of each sample by the value of the base sample of the same round. It returns the minimum,
// median and maximum of these ratios.
func ratios(samples, base []sample, value func(sample) time.Duration) string {
	values := make([]float64, 0, len(samples))
	for round, s := range samples {
		values = append(values, float64(value(s))/float64(value(base[round])))
	}
	slices.Sort(values)
	return fmt.Sprintf("%.2f %.2f %.2f", values[0], values[len(values)/2], values[len(values)-1])
}
