package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// printer writes formatted text. After the first error it writes nothing, and keeps that error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// table writes rows in aligned columns. Tabs in the format separate the columns.
type table struct {
	printer
	columns *tabwriter.Writer
}

func newTable(out io.Writer) *table {
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	return &table{printer{out: columns}, columns}
}

// flush aligns the columns and writes the table. It also returns the error of an earlier printf.
func (t *table) flush() error { return errors.Join(t.err, t.columns.Flush()) }

// createFile creates the file at path and calls write to fill it. If path is empty, it does nothing.
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
