package standalone

import _ "embed" // for the example

// Example is a commented configuration that works as it stands, with two servers on loopback.
//
//go:embed example.toml
var Example string
