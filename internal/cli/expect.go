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

var errExpectationsNotMet = errors.New("expect: expectations are not met")

// expectCommand returns the command that checks a configuration against files of expectations, without traffic.
func expectCommand(configPath *string) *cobra.Command {
	var format string
	command := &cobra.Command{
		Use:   "expect FILE...",
		Short: "Check a configuration against expectations, without traffic",
		Long: `Check the configuration that --config names against the expectations of each FILE (docs/expectations.md): with
the real routes, identities, engine and policy, in virtual time, without a socket. Expectations that are not met are
printed with the request and the line that decided. The exit status is 0 if all are met.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			results, err := runExpectations(*configPath, args)
			if err != nil {
				return err
			}
			return printExpectations(c.OutOrStdout(), format, results)
		},
	}
	command.Flags().StringVar(&format, "format", "text", "text, tap or junit")
	return command
}

// expectationResult is the result of one expectation, with the path of the expectation's file.
type expectationResult struct {
	path string
	expect.Result
}

func (e *expectationResult) title() string { return fmt.Sprintf("%s:%d: %s", e.path, e.Line, e.Name) }

func (e *expectationResult) failed() bool { return len(e.Failures) > 0 }

// runExpectations checks a standalone configuration against all expectations in the files at paths.
func runExpectations(configPath string, paths []string) ([]expectationResult, error) {
	config, err := standalone.Load(configPath)
	if err != nil {
		return nil, err
	}
	if !config.Standalone() {
		return nil, errors.New("expect: --config must name a configuration with a listener")
	}
	var expectations []expectationResult
	for _, path := range paths {
		file, err := expect.Load(path)
		if err != nil {
			return nil, err
		}
		results, err := file.Run(config)
		if err != nil {
			return nil, err
		}
		for _, result := range results {
			expectations = append(expectations, expectationResult{path, result})
		}
	}
	return expectations, nil
}

// printExpectations prints the results as text, TAP or JUnit XML. It returns an error if an expectation is not met.
func printExpectations(out io.Writer, format string, expectations []expectationResult) error {
	failed := 0
	for i := range expectations {
		if expectations[i].failed() {
			failed++
		}
	}
	var err error
	switch format {
	case "text":
		err = printText(out, expectations, failed)
	case "tap":
		err = printTAP(out, expectations)
	case "junit":
		err = printJUnit(out, expectations, failed)
	default:
		return fmt.Errorf("--format: want text, tap or junit, got %q", format)
	}
	if err == nil && failed > 0 {
		err = errExpectationsNotMet
	}
	return err
}

func printText(out io.Writer, expectations []expectationResult, failed int) error {
	output := &printer{out: out}
	for i := range expectations {
		for _, failure := range expectations[i].Failures {
			output.printf("%s\n    %s\n", expectations[i].title(), failure)
		}
	}
	output.printf("%d of %d expectations are met\n", len(expectations)-failed, len(expectations))
	return output.err
}

// printTAP prints the results in the Test Anything Protocol.
func printTAP(out io.Writer, expectations []expectationResult) error {
	output := &printer{out: out}
	output.printf("TAP version 14\n1..%d\n", len(expectations))
	for i := range expectations {
		not := ""
		if expectations[i].failed() {
			not = "not "
		}
		title := strings.ReplaceAll(expectations[i].title(), "#", "\\#") // an unescaped # begins a directive
		output.printf("%sok %d - %s\n", not, i+1, title)
		for _, failure := range expectations[i].Failures {
			output.printf("  # %s\n", failure)
		}
	}
	return output.err
}

type junitSuite struct {
	XMLName  xml.Name    `xml:"testsuite"`
	Name     string      `xml:"name,attr"`
	Tests    int         `xml:"tests,attr"`
	Failures int         `xml:"failures,attr"`
	Cases    []junitCase `xml:"testcase"`
}

type junitCase struct {
	Name    string         `xml:"name,attr"`
	Class   string         `xml:"classname,attr"`
	Failure []junitFailure `xml:"failure"`
}

type junitFailure struct {
	Message string `xml:"message,attr"`
	Text    string `xml:",chardata"`
}

// printJUnit prints the results as JUnit XML. It uses only the elements that all readers of the format support.
func printJUnit(out io.Writer, expectations []expectationResult, failed int) error {
	suite := junitSuite{Name: "expectations", Tests: len(expectations), Failures: failed}
	for i := range expectations {
		result := &expectations[i]
		testCase := junitCase{Name: result.Name, Class: fmt.Sprintf("%s:%d", result.path, result.Line)}
		if result.failed() {
			testCase.Failure = []junitFailure{{result.Failures[0], strings.Join(result.Failures, "\n")}}
		}
		suite.Cases = append(suite.Cases, testCase)
	}
	if _, err := io.WriteString(out, xml.Header); err != nil {
		return err
	}
	encoder := xml.NewEncoder(out)
	encoder.Indent("", " ")
	if err := encoder.Encode(suite); err != nil {
		return err
	}
	_, err := io.WriteString(out, "\n")
	return err
}
