package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// printer writes formatted text, and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// table writes rows of columns, which tabs separate in the format.
type table struct {
	printer
	columns *tabwriter.Writer
}

func newTable(out io.Writer) *table {
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	return &table{printer{out: columns}, columns}
}

// flush aligns the columns and writes the table. It returns the first error of all that was written.
func (t *table) flush() error { return errors.Join(t.err, t.columns.Flush()) }

// createFile creates a file and has write fill it. Without a path it does nothing.
func createFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
