// Package jsonconfig reads JSON from outside so that errors name the field as its author wrote it.
package jsonconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
)

// Unmarshal is json.Unmarshal whose type errors name the field by its JSON path.
func Unmarshal(raw []byte, to any) error {
	err := json.Unmarshal(raw, to)
	if bad := (*json.UnmarshalTypeError)(nil); errors.As(err, &bad) && bad.Field != "" {
		return fmt.Errorf("%s: want %s, got %s", bad.Field, bad.Type, bad.Value)
	}
	return err
}

// CheckAddress says whether addr is host:port.
func CheckAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("want host:port, got %q", addr)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || host == "" {
		return fmt.Errorf("want host:port, got %q", addr)
	}
	return nil
}
