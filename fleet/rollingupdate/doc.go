// Package rollingupdate decides the next steps of a rolling update: draining nodes one after another, having each
// patched, and resuming it. It does no I/O and reads no clock. A job as the log has it and what can be seen of the
// nodes go in, actions come out.
//
// Failures: a holder of the lease may stop at any moment. Each step is recorded in the log before it is begun and
// after it has ended, so that the next holder continues where the last one was.
//
// Clocks: none is trusted beyond what package lease says of the holder's.
//
// Missing answers: a step whose request got no answer may have been carried out or not. It is asked of its node again
// under the same idempotency key, and the node's receiver answers with the outcome of the first request.
package rollingupdate
