// Package fleetcli implements the program wayhold-fleet. The program runs the replicas of the consensus group and the
// agents of nodes, and has the operators' commands for the fleet.
package fleetcli
