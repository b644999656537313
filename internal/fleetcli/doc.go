// Package fleetcli is the program wayhold-fleet: the replicas of the consensus group, the agents beside nodes, and
// the operators' commands.
package fleetcli
