package policy

import "strconv"

// Cell is a group of servers that share a deduplication table. The zero value is an unknown cell. Servers whose cell is
// unknown or conflicting are not known to share a table with any server.
type Cell struct {
	number int64
	state  cellState
}

type cellState uint8

const (
	cellUnknown cellState = iota
	cellKnown
	cellConflicting
)

// ConflictingCell is the cell of a server for which reports name different cells.
var ConflictingCell = Cell{state: cellConflicting}

// NewCell returns the cell with the given number. Every number is valid, including 0.
func NewCell(number int64) Cell { return Cell{number, cellKnown} }

// Number returns the number of the cell. known is false if the cell is unknown or conflicting.
func (c Cell) Number() (number int64, known bool) { return c.number, c.Known() }

// Known reports whether the cell is known.
func (c Cell) Known() bool { return c.state == cellKnown }

// Merge combines c with the cell that another report names for the same process.
func (c Cell) Merge(other Cell) Cell {
	switch {
	case c.state == cellUnknown:
		return other
	case other.state == cellUnknown || c == other:
		return c
	}
	return ConflictingCell
}

// String returns the number of the cell, "unknown" or "conflicting".
func (c Cell) String() string {
	switch c.state {
	case cellKnown:
		return strconv.FormatInt(c.number, 10)
	case cellConflicting:
		return "conflicting"
	default:
		return "unknown"
	}
}

// dedupGroup is the zone and the cell of a server process. They determine the servers with which the process shares a
// deduplication table. A dedupGroup never changes.
type dedupGroup struct {
	zone string // empty: unknown
	cell Cell
}

// isKnown reports whether the part of the group that matters in scope is known.
func (g *dedupGroup) isKnown(scope DedupScope) bool {
	switch scope {
	case DedupAll:
		return true
	case DedupZone:
		return g.zone != ""
	default:
		return g.cell.Known()
	}
}

// equal reports whether g and other agree in the part that matters in scope.
func (g *dedupGroup) equal(scope DedupScope, other *dedupGroup) bool {
	switch scope {
	case DedupAll:
		return true
	case DedupZone:
		return g.zone == other.zone
	default:
		return g.cell == other.cell
	}
}

// setEndpoint stores an entry of the endpoint list that describes the same process as s.
func (s *server) setEndpoint(entry Endpoint, now Time) {
	if isNew := s.group == nil; entry.Availability == Running && (isNew || s.Availability != Running) {
		s.runningSince = now
	}
	s.Endpoint = entry
	group := dedupGroup{entry.Zone, entry.Cell}
	if entry.ZoneUncertain {
		group.zone = ""
	}
	if s.group == nil || *s.group != group {
		changed := group // a variable of its own, so that an unchanged group is not allocated
		s.group = &changed
	}
}

// mayHaveStartedAfter reports whether the process of s may have started after the given time. If the start time is
// unknown, the process may have started until the list named it as running: a server may be restarted while it is
// listed as draining, or not listed.
func (s *server) mayHaveStartedAfter(at Time) bool {
	return s.OnlineSince > at || s.StartUnknown && s.runningSince > at
}

// isDiscardedBy reports whether candidate is known to discard duplicates of the request if the attempt was executed.
// The group of the server at the time of the attempt counts, because the list may now describe another process under
// the server's name. If the list now says another group, it is not known which is right.
func (a *attempt) isDiscardedBy(candidate *server, scope DedupScope) bool {
	if current := a.server.group; current.isKnown(scope) && !current.equal(scope, a.group) {
		return false
	}
	return a.group.isKnown(scope) && a.group.equal(scope, candidate.group)
}
