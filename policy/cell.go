package policy

import "strconv"

// Cell is a group of servers that share a deduplication table. The zero value is an unknown cell. Servers whose cell is
// unknown are not known to share a table with any server.
type Cell struct {
	number int64
	known  bool
}

// NewCell returns the cell with the given number. Every number is valid, including 0.
func NewCell(number int64) Cell { return Cell{number, true} }

// Number returns the number of the cell. known is false if the cell is unknown.
func (c Cell) Number() (number int64, known bool) { return c.number, c.known }

// Known reports whether the cell is known.
func (c Cell) Known() bool { return c.known }

// String returns the number of the cell, or "unknown".
func (c Cell) String() string {
	if !c.known {
		return "unknown"
	}
	return strconv.FormatInt(c.number, 10)
}

// dedupGroup contains what is known of the servers with which a server shares a deduplication table.
type dedupGroup struct {
	zone string // empty: unknown
	cell Cell
}

// dedupGroup returns what the endpoint list says about the deduplication group of the server.
func (s *server) dedupGroup() dedupGroup { return dedupGroup{s.Zone, s.Cell} }

// shares reports whether a server of group is known to discard duplicates of requests that a server of other has
// executed. Unknown zones and unknown cells do not count as equal.
func (group dedupGroup) shares(scope DedupScope, other dedupGroup) bool {
	switch scope {
	case DedupAll:
		return true
	case DedupZone:
		return group.zone != "" && group.zone == other.zone
	default:
		return group.cell.known && group.cell == other.cell
	}
}
