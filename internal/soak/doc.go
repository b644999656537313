// Package soak holds tests alone: one node as a process of its own, terminated and killed at the earliest moment that
// the operators allow, while clients use their connections to the last and servers fail in many ways. What a run does
// is drawn from its seed. Results are judged by what clients and servers have recorded, not by what the node reports.
package soak
