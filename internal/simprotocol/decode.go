// Package simprotocol translates between the simulator's line protocol and the types of package policy. It also
// parses the protocol's settings. It makes no decisions about requests. The names of the protocol occur only in this
// package.
package simprotocol

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"cobaltward/policy"

	"github.com/valyala/fastjson"
)

// Kind is the type of a line of the protocol.
type Kind uint8

// The kinds of line.
const (
	BatchStart Kind = iota // begins a batch; Now is set
	BatchEnd               // ends a batch
	ListStored             // the line contained an endpoint list, which is now stored in the decoder
	Configure              // Node, Seed and Settings are set
	Shutdown               // Node is set
	Event                  // Node and Event are set
)

// Line is one decoded line.
type Line struct {
	Kind     Kind
	Now      policy.Time
	Node     int // number of the instance that receives the line
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

// Decoder decodes lines. It stores endpoint lists, because the simulator sends each list once for all instances. The
// zero value is ready to use. A Decoder is not safe for concurrent use.
type Decoder struct {
	parser        fastjson.Parser
	endpointLists [maxLists][]policy.Endpoint
	received      [maxLists]bool // whether each list was received, by number of the list
	interned      map[string]string
}

// Decode decodes one line. Errors name the message and the field.
func (d *Decoder) Decode(line []byte) (Line, error) {
	message, err := d.parser.ParseBytes(line)
	if err != nil {
		return Line{}, fmt.Errorf("not JSON: %w", firstLine(err))
	}
	if message.Type() != fastjson.TypeArray {
		return Line{}, fmt.Errorf("message: want an array, got %s", message.Type())
	}
	values := message.GetArray()
	if len(values) == 0 || values[0].Type() != fastjson.TypeString {
		return Line{}, fmt.Errorf("message: want a name first")
	}
	args := args{values: values[1:], decoder: d}
	name := string(values[0].GetStringBytes())
	decoded, err := d.decodeMessage(name, &args)
	if err == nil {
		err = args.err
	}
	if err != nil {
		return Line{}, fmt.Errorf("%s: %w", printableName(name), err)
	}
	return decoded, nil
}

func (d *Decoder) decodeMessage(name string, args *args) (Line, error) {
	switch name {
	case "mark":
		return Line{Kind: BatchStart, Now: args.millis(0, "clock")}, nil
	case "eob":
		return Line{Kind: BatchEnd}, nil
	case "list":
		return Line{Kind: ListStored}, d.storeList(args)
	}
	node := args.int(0, "node")
	switch name {
	case "configure":
		return decodeConfigure(node, args)
	case "shutdown":
		return Line{Kind: Shutdown, Node: node}, nil
	}
	event, err := d.decodeEvent(name, args)
	return Line{Kind: Event, Node: node, Event: event}, err
}

func decodeConfigure(node int, args *args) (Line, error) {
	line := Line{Kind: Configure, Node: node, Seed: args.uint(1, "randomSeed")}
	conf := args.required(2, "conf", fastjson.TypeObject)
	if conf == nil { // args has recorded the error
		return line, nil
	}
	settings, err := parseSettings(conf)
	if err != nil {
		return line, fmt.Errorf("conf: %w", err)
	}
	line.Settings = settings
	return line, nil
}

// printableName returns a message's name as printable characters on one line, cut to maxLength.
func printableName(name string) string {
	const maxLength = 60 // bytes; all names of the protocol are shorter
	quoted := strings.Trim(strconv.Quote(name), `"`)
	return quoted[:min(len(quoted), maxLength)]
}

// firstLine returns the first line of a parser's error, cut to maxLength.
func firstLine(err error) error {
	const maxLength = 200 // bytes; the parser may quote a whole line of input
	text := err.Error()
	for i := range len(text) {
		if text[i] == '\n' || i == maxLength {
			return errors.New(text[:i])
		}
	}
	return err
}
