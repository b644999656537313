package handshakes

import "testing"

// TestRecordTracker_AnyPieces checks that the tracker reports a position within a record everywhere except at the end
// of a record, and counts the records. The test splits a stream of three records, including an empty record, into
// pieces of every size.
func TestRecordTracker_AnyPieces(t *testing.T) {
	stream := []byte{23, 3, 3, 0, 2, 'a', 'b', 21, 3, 3, 0, 0, 23, 3, 3, 0, 1, 'c'}
	ends := map[int]bool{7: true, 12: true, 18: true}
	for size := 1; size <= len(stream); size++ {
		var tracker recordTracker
		records := 0
		for at := 0; at < len(stream); at += size {
			end := min(at+size, len(stream))
			completed, within := tracker.advance(stream[at:end])
			if within == ends[end] {
				t.Errorf("pieces of %d bytes: after %d bytes, within a record is %v", size, end, within)
			}
			records += completed
		}
		if records != len(ends) {
			t.Errorf("pieces of %d bytes: %d records completed, want %d", size, records, len(ends))
		}
	}
}
