package standalone

import _ "embed" // for Example

// Example is a commented configuration of a standalone node with two servers on loopback. It is valid as it is.
//
//go:embed example.toml
var Example string
