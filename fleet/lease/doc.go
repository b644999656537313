// Package lease decides who holds the lease of a resource, and which effects of holders a receiver lets through. It
// does no I/O and reads no clock: callers pass the time in.
//
// Failures: the package tolerates processes that stop and resume, messages that are delayed, repeated or lost, and a
// consensus group that is unavailable. A holder that cannot renew its lease stops acting.
//
// Clocks: while a lease is valid, no monotonic clock may run more than MaxClockDrift faster or slower than another.
// Then no two holders of a resource act at the same time. If that assumption is broken, a receiver still lets no
// effect of an older holder through after one of a newer holder: that rests on the receiver's stored fencing tokens
// alone.
//
// Missing answers: a client that got no answer can conclude nothing. A lease counts from before it was asked for, so
// an answer that arrives late is worth less, never more.
package lease
