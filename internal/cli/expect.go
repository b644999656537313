package cli

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"

	"cobaltward/internal/expect"
	"cobaltward/internal/standalone"

	"github.com/spf13/cobra"
)

var errNotMet = errors.New("expect: expectations are not met")

// expectCommand holds a configuration against expectations.
func expectCommand(own *string) *cobra.Command {
	var form string
	c := &cobra.Command{
		Use:   "expect FILE...",
		Short: "Hold a configuration against what is expected of it, without traffic",
		Long: `Hold the configuration that --config names against the expectations of each FILE (docs/expectations.md): on the
real routes, identities, engine and module, in virtual time, without a socket. What is not met is told with the
request and the line that decided. The exit status is 0 if all are met.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			conf, err := standalone.Load(*own)
			if err != nil {
				return err
			}
			if !conf.Standalone() {
				return errors.New("expect: name a configuration with a listener by --config")
			}
			var all []expectation
			for _, path := range args {
				f, err := expect.Load(path)
				if err != nil {
					return err
				}
				results, err := f.Run(conf)
				if err != nil {
					return err
				}
				for _, r := range results {
					all = append(all, expectation{path, r})
				}
			}
			return tellExpectations(c.OutOrStdout(), form, all)
		},
	}
	c.Flags().StringVar(&form, "format", "text", "text, tap or junit")
	return c
}

type expectation struct {
	path string
	expect.Result
}

func (e expectation) name() string { return fmt.Sprintf("%s:%d: %s", e.path, e.Line, e.Name) }

func tellExpectations(out io.Writer, form string, all []expectation) error {
	failed := 0
	for _, e := range all {
		if len(e.Failures) > 0 {
			failed++
		}
	}
	var err error
	switch form {
	case "text":
		for _, e := range all {
			for _, f := range e.Failures {
				fmt.Fprintf(out, "%s\n    %s\n", e.name(), f)
			}
		}
		_, err = fmt.Fprintf(out, "%d of %d expectations are met\n", len(all)-failed, len(all))
	case "tap":
		fmt.Fprintf(out, "TAP version 14\n1..%d\n", len(all))
		for i, e := range all {
			not := ""
			if len(e.Failures) > 0 {
				not = "not "
			}
			// A # would begin a directive.
			_, err = fmt.Fprintf(out, "%sok %d - %s\n", not, i+1, strings.ReplaceAll(e.name(), "#", "\\#"))
			for _, f := range e.Failures {
				fmt.Fprintf(out, "  # %s\n", f)
			}
		}
	case "junit":
		err = junit(out, all, failed)
	default:
		return fmt.Errorf("--format: want text, tap or junit, got %q", form)
	}
	if err == nil && failed > 0 {
		err = errNotMet
	}
	return err
}

// junit writes what the readers of JUnit's XML agree on.
func junit(out io.Writer, all []expectation, failed int) error {
	type failure struct {
		Message string `xml:"message,attr"`
		Text    string `xml:",chardata"`
	}
	type testcase struct {
		Name    string    `xml:"name,attr"`
		Class   string    `xml:"classname,attr"`
		Failure []failure `xml:"failure"`
	}
	suite := struct {
		XMLName  xml.Name   `xml:"testsuite"`
		Name     string     `xml:"name,attr"`
		Tests    int        `xml:"tests,attr"`
		Failures int        `xml:"failures,attr"`
		Cases    []testcase `xml:"testcase"`
	}{Name: "expectations", Tests: len(all), Failures: failed}
	for _, e := range all {
		c := testcase{Name: e.Name, Class: fmt.Sprintf("%s:%d", e.path, e.Line)}
		if len(e.Failures) > 0 {
			c.Failure = []failure{{e.Failures[0], strings.Join(e.Failures, "\n")}}
		}
		suite.Cases = append(suite.Cases, c)
	}
	if _, err := io.WriteString(out, xml.Header); err != nil {
		return err
	}
	enc := xml.NewEncoder(out)
	enc.Indent("", " ")
	if err := enc.Encode(suite); err != nil {
		return err
	}
	_, err := io.WriteString(out, "\n")
	return err
}
