package cli

import (
	"fmt"
	"io"
	"strings"

	"cobaltward/internal/standalone"
	"cobaltward/levels"
	"cobaltward/policy"
)

// describeStandalone prints the configuration of a standalone node as tables.
func describeStandalone(out io.Writer, file *standalone.File) error {
	endpoints, err := file.Endpoints()
	if err != nil {
		return err
	}
	settings := file.Settings()
	table := newTable(out)
	table.printf("listens on %s\n\n", file.Listen[0].Address)
	printClasses(table, settings.Classes)
	table.printf("\nserver\taddress\tzone\tstate\n")
	for _, endpoint := range endpoints {
		state := [...]string{"running", "draining", "removed"}[endpoint.Availability]
		table.printf("%s\t%s\t%s\t%s\n", endpoint.ID, endpoint.Addr, endpoint.Zone, state)
	}
	if err := table.flush(); err != nil {
		return err
	}
	return describeLevels(out, file, settings.Classes)
}

func printClasses(table *table, classes []policy.Class) {
	table.printf("class\taim\tdeadline\tmay be sent again\n")
	for _, class := range classes {
		table.printf("%s\t%v\t%v\t%s\n", class.Name, class.LatencyObjective, class.Deadline, describeRetries(class))
	}
}

// describeRetries describes when a request of a class may be retried.
func describeRetries(class policy.Class) string {
	switch class.Idempotency {
	case policy.Idempotent:
		return "yes"
	case policy.IdempotencyKeyed:
		return fmt.Sprintf("within %v, under its key", class.DedupWindow)
	}
	return "only if it never ran"
}

// describeLevels prints the levels of reduced service as a table. It prints nothing if there are none.
func describeLevels(out io.Writer, file *standalone.File, classes []policy.Class) error {
	config, err := levelsConfig(file, classes)
	if config == nil || err != nil {
		return err
	}
	table := newTable(out)
	table.printf("\nlevel\tname\tentered above\tleft below\tmeasures\n")
	for i, level := range config.Levels {
		var measures []string
		for _, measure := range level.Measures {
			measures = append(measures, describeMeasure(measure))
		}
		table.printf("%d\t%s\t%v\t%v\t%s\n", i+1, level.Name, level.Enter, level.Exit, strings.Join(measures, ", "))
	}
	return table.flush()
}

func describeMeasure(measure levels.Measure) string {
	text := measure.Class
	if measure.Shed > 0 {
		text += fmt.Sprintf(" shed %.4g", measure.Shed)
	}
	if measure.NoHedging {
		text += " no copies"
	}
	if measure.MaxAttempts > 0 {
		text += fmt.Sprintf(" %d attempts", measure.MaxAttempts)
	}
	if measure.WithinQuota {
		text += " in share"
	}
	return text
}
