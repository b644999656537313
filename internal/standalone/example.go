package standalone

import _ "embed" // for Example

// Example is a commented configuration of a standalone node with two servers on loopback. It is valid without
// changes.
//
//go:embed example.toml
var Example string
