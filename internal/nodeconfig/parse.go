package nodeconfig

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// document is the decoded TOML document. Its values are decoded as any and converted afterwards, because the TOML
// decoder reports no line number for errors of an UnmarshalText method.
type document struct {
	// Tables that package standalone reads. They are declared here because the decoder rejects unknown keys.
	Node     any `toml:"node"`
	Listen   any `toml:"listen"`
	Limits   any `toml:"limits"`
	Class    any `toml:"class"`
	Tenant   any `toml:"tenant"`
	Buckets  any `toml:"buckets"`
	Server   any `toml:"server"`
	Servers  any `toml:"servers"`
	Route    any `toml:"route"`
	Identity any `toml:"identity"`
	Service  any `toml:"service"`
	Level    any `toml:"level"`
	State    any `toml:"state"`
	TLS      any `toml:"tls"`
	Fleet    any `toml:"fleet"`

	Log struct {
		Level  any `toml:"level"`
		Format any `toml:"format"`
	} `toml:"log"`
	Drain struct {
		AnnounceFor any `toml:"leave"`
		Timeout     any `toml:"deadline"`
		StateFile   any `toml:"remember"`
	} `toml:"drain"`
	AdminAPI struct {
		Socket    any `toml:"socket"`
		Listen    any `toml:"listen"`
		TokenFile any `toml:"token_file"`
	} `toml:"door"`
	XDS     xdsTable     `toml:"xds"`
	Msgpack msgpackTable `toml:"msgpack"`
}

type xdsTable struct {
	Bootstrap any            `toml:"bootstrap"`
	CAFile    any            `toml:"ca_file"`
	Delta     any            `toml:"delta"`
	Dir       any            `toml:"dir"`
	Files     any            `toml:"files"`
	Alone     any            `toml:"alone"`
	Pools     map[string]any `toml:"pools"`
}

type msgpackTable struct {
	Listen      any `toml:"listen"`
	Connections any `toml:"connections"`
	Calls       any `toml:"calls"`
	Servers     any `toml:"servers"`
}

// Load reads the file at path. An empty path means an empty file. An error in the file's contents is a
// single-line message with the file name, line number and key.
func Load(path string) (File, error) {
	if path == "" {
		return File{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	file, err := Parse(text)
	if err != nil {
		return File{}, fmt.Errorf("%s:%w", path, err)
	}
	return file, nil
}

// Parse parses the text of a file. An error is a single-line message that begins with the line number.
func Parse(text []byte) (File, error) {
	doc, err := decode(text)
	if err != nil {
		return File{}, err
	}
	file := File{TLS: doc.TLS}
	for _, read := range []func(lines lineFinder, doc *document) error{
		file.readStrings, file.XDS.read, file.Msgpack.read, file.check,
	} {
		if err := read(lineFinder{text}, doc); err != nil {
			return File{}, err
		}
	}
	return file, nil
}

// decode decodes text as TOML and rejects unknown keys.
func decode(text []byte) (*document, error) {
	var doc document
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&doc)
	if err == nil {
		return &doc, nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		row, _ := unknown.Errors[0].Position()
		return nil, fmt.Errorf("%d: %s: unknown key", row, strings.Join(unknown.Errors[0].Key(), "."))
	}
	message := strings.TrimPrefix(err.Error(), "toml: ")
	var invalid *toml.DecodeError
	if !errors.As(err, &invalid) {
		return nil, fmt.Errorf("1: %s", firstLine(message))
	}
	row, _ := invalid.Position()
	if key := strings.Join(invalid.Key(), "."); key != "" {
		message = key + ": " + message
	}
	return nil, fmt.Errorf("%d: %s", row, firstLine(message))
}

// readStrings reads the keys whose values are strings.
func (f *File) readStrings(lines lineFinder, doc *document) error {
	for _, field := range []struct {
		table, key string
		from       any
		to         encoding.TextUnmarshaler
	}{
		{"log", "level", doc.Log.Level, &f.Log.Level},
		{"log", "format", doc.Log.Format, &f.Log.Format},
		{"drain", "leave", doc.Drain.AnnounceFor, &f.Drain.AnnounceFor},
		{"drain", "deadline", doc.Drain.Timeout, &f.Drain.Timeout},
		{"xds", "bootstrap", doc.XDS.Bootstrap, (*filePath)(&f.XDS.Bootstrap)},
		{"xds", "ca_file", doc.XDS.CAFile, (*filePath)(&f.XDS.CAFile)},
		{"xds", "dir", doc.XDS.Dir, (*filePath)(&f.XDS.CacheDir)},
		{"msgpack", "listen", doc.Msgpack.Listen, (*listenAddress)(&f.Msgpack.Listen)},
		{"drain", "remember", doc.Drain.StateFile, (*filePath)(&f.Drain.StateFile)},
		{"door", "socket", doc.AdminAPI.Socket, (*absolutePath)(&f.AdminAPI.Socket)},
		{"door", "listen", doc.AdminAPI.Listen, (*loopbackAddress)(&f.AdminAPI.Listen)},
		{"door", "token_file", doc.AdminAPI.TokenFile, (*filePath)(&f.AdminAPI.TokenFile)},
	} {
		if field.from == nil {
			continue
		}
		value, ok := field.from.(string)
		if !ok {
			return lines.errorf(field.table, field.key, "want a text in quotes, got %v", field.from)
		}
		if err := field.to.UnmarshalText([]byte(value)); err != nil {
			return lines.errorf(field.table, field.key, "%w", err)
		}
	}
	return nil
}

// check validates combinations of keys.
func (f *File) check(lines lineFinder, _ *document) error {
	admin, drain := f.AdminAPI, f.Drain
	switch {
	case admin.Listen != "" && admin.TokenFile == "":
		return lines.errorf("door", "listen", "requires token_file")
	case admin.Listen == "" && admin.TokenFile != "":
		return lines.errorf("door", "token_file", "has no effect without listen")
	case drain.StateFile != "" && admin == (AdminAPI{}):
		return lines.errorf("drain", "remember", "has no effect without [door], which serves requests to drain")
	case drain.AnnounceFor.Set && drain.Timeout.Set && drain.AnnounceFor.Duration > drain.Timeout.Duration:
		return lines.errorf("drain", "leave", "want at most drain.deadline, %v, got %v",
			drain.Timeout.Duration, drain.AnnounceFor.Duration)
	}
	return nil
}

// readStringList returns a list of strings, or nil if the key is not set.
func readStringList(from any) (texts []string, err error) {
	if from == nil {
		return nil, nil
	}
	list, ok := from.([]any)
	if !ok || len(list) == 0 {
		return nil, fmt.Errorf("want a list in brackets, got %v", from)
	}
	for _, element := range list {
		text, ok := element.(string)
		if !ok || text == "" {
			return nil, fmt.Errorf("want texts in quotes, got %v", element)
		}
		texts = append(texts, text)
	}
	return texts, nil
}
