package lease

// UnsafeOptions disables safeguards in tests, one for each option, to show that each safeguard is needed. The zero
// value keeps all safeguards.
type UnsafeOptions struct {
	// SkipFencing makes receivers accept every fencing token without a check against the log.
	SkipFencing bool
	// SkipExpiryDelay makes leases expire after a quarter of their duration.
	SkipExpiryDelay bool
	// CountFromResponse makes holders count the duration of a lease from the response instead of the request.
	CountFromResponse bool
	// RecordIntentLate makes controllers record steps in the log only after the steps were carried out.
	RecordIntentLate bool
}
