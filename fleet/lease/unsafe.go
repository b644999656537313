package lease

// UnsafeOptions remove safeguards, one each, so that tests can show that each safeguard is needed. The zero value
// keeps them all.
type UnsafeOptions struct {
	// SkipFencing has receivers accept every fencing token, without looking at the log.
	SkipFencing bool
	// SkipExpiryDelay has leases expire after a quarter of their duration.
	SkipExpiryDelay bool
	// CountFromResponse has holders count a lease from the answer, and not from the request.
	CountFromResponse bool
	// RecordIntentLate has steps recorded in the log only after they were carried out.
	RecordIntentLate bool
}
