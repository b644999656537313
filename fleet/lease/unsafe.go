package lease

// UnsafeOptions disable one safeguard each, so that tests can show that each safeguard is needed. The zero value keeps
// all safeguards.
type UnsafeOptions struct {
	// SkipFencing makes receivers accept every fencing token, without checking the log.
	SkipFencing bool
	// SkipExpiryDelay makes leases expire after a quarter of their duration.
	SkipExpiryDelay bool
	// CountFromResponse makes holders count the duration of a lease from the response instead of the request.
	CountFromResponse bool
	// RecordIntentLate makes controllers record steps in the log only after they were carried out.
	RecordIntentLate bool
}
