// Package lease decides which process holds the lease of a resource, and which requested effects a receiver carries
// out. It does no I/O and reads no clock: callers pass the time in.
//
// Failures: the package tolerates processes that stop and resume, messages that are delayed, repeated or lost, and a
// consensus group that is unavailable. A holder that cannot renew its lease stops acting.
//
// Clocks: while a lease is valid, no monotonic clock may run more than MaxClockDrift faster or slower than another.
// Under that assumption, no two holders of a resource act at the same time. If the assumption is broken, a receiver
// still rejects the effects of an older holder after an effect of a newer holder. That rejection depends only on the
// fencing tokens that the receiver has stored.
//
// Missing answers: a client that got no answer can conclude nothing. The duration of a lease counts from a moment
// before the request. A late answer therefore shortens the time left to act and never extends it.
package lease
