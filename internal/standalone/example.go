package standalone

import _ "embed" // for Example

// Example is a commented configuration of a node with two servers on loopback. It works unchanged.
//
//go:embed example.toml
var Example string
