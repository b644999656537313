package main

import (
	"strings"
	"time"
)

// drainLimit is the latest time for new work at a server whose drain the node was told of: 500 ms of grace, and the 50
// ms by which each limit is longer on sockets.
const drainLimit = 550 * time.Millisecond

// judgeDrain reports whether s got work later than told + drainLimit.
func (w *world) judgeDrain(s *appServer, told time.Time) verdict {
	late, last := s.after(told.Add(drainLimit))
	within, _ := s.after(told)
	w.note("the node was told at %.1f: server %s got %d requests after that, of which %d after the grace",
		w.at(told), s.name, within, late)
	if late == 0 {
		return held
	}
	w.note("the last of them came at %.1f, %.0f ms after the node was told", w.at(last),
		float64(last.Sub(told).Microseconds())/1000)
	return broken
}

// awaitWork waits until each server has got work since t.
func (w *world) awaitWork(t time.Time, servers ...*appServer) {
	for _, s := range servers {
		w.await(s.name+" gets work", 10*time.Second, func() bool {
			n, _ := s.after(t)
			return n >= 3
		})
	}
}

func contains(text, part string) bool { return strings.Contains(text, part) }
