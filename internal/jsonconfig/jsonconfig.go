// Package jsonconfig decodes JSON configurations. Its errors name the field by the JSON path.
package jsonconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
)

// Unmarshal decodes JSON like json.Unmarshal. Its type errors name the field by the JSON path.
func Unmarshal(raw []byte, target any) error {
	err := json.Unmarshal(raw, target)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return fmt.Errorf("%s: want %s, got %s", mismatch.Field, mismatch.Type, mismatch.Value)
	}
	return err
}

// CheckAddress returns an error unless address is host:port with a numeric port.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil || host == "" {
		return fmt.Errorf("want host:port, got %q", address)
	}
	return nil
}
