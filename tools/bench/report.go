package main

import (
	"fmt"
	"slices"
	"time"
)

const reportHeader = "%s connections: subject, requests/s, p50, p99, CPU per request, not 200; " +
	"ratios to proxy of p50, p99, CPU (min median max)\n"

// printReport prints medians, and medians of the ratios to the first subject round by round.
func printReport(subjects []*subject, samples [][]sample, conns string) {
	fmt.Printf(reportHeader, conns)
	p50 := func(s sample) time.Duration { return s.p50 }
	p99 := func(s sample) time.Duration { return s.p99 }
	cpu := func(s sample) time.Duration { return s.cpu }
	base := samples[0]
	for i, subject := range subjects {
		own := samples[i]
		failed := 0
		for _, s := range own {
			failed += s.failed
		}
		fmt.Printf("  %-24s %7.0f  %8v %8v %8v  %d  | %s | %s | %s\n", subject.name, own[len(own)/2].rate,
			median(own, p50).Round(time.Microsecond), median(own, p99).Round(time.Microsecond),
			median(own, cpu).Round(100*time.Nanosecond), failed,
			ratios(own, base, p50), ratios(own, base, p99), ratios(own, base, cpu))
	}
}

func median(samples []sample, value func(sample) time.Duration) time.Duration {
	all := make([]time.Duration, 0, len(samples))
	for _, s := range samples {
		all = append(all, value(s))
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// ratios returns the least, median and greatest ratio of a subject's value to that of the base in the same round.
func ratios(samples, base []sample, value func(sample) time.Duration) string {
	all := make([]float64, 0, len(samples))
	for round, s := range samples {
		all = append(all, float64(value(s))/float64(value(base[round])))
	}
	slices.Sort(all)
	return fmt.Sprintf("%.2f %.2f %.2f", all[0], all[len(all)/2], all[len(all)-1])
}
