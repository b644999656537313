// Package rollingupdate decides the next steps of a rolling update, which drains nodes one after another, has each
// patched, and resumes it. From the job in the log and the observed status of the nodes it derives the next actions. It
// does no I/O and reads no clock.
//
// Failures: a holder of the lease may stop at any moment. Each step is recorded in the log before it begins and after
// it has ended, so that the next holder continues where the previous one stopped.
//
// Clocks: none is trusted, except the clock of the lease's holder, as package lease describes.
//
// Missing answers: a step whose request got no answer may have been carried out or not. The holder requests it again
// under the same idempotency key, and the node's receiver answers with the outcome of the first request.
package rollingupdate
