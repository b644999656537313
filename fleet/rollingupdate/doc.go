// Package rollingupdate decides the next steps of a rolling update, which drains, patches and resumes nodes one after
// another. It derives these steps from the job in the log and the observed status of the nodes. It does no I/O and
// reads no clock.
//
// Failures: a holder of the lease may stop at any moment. Each step is recorded in the log before it begins and after
// it has ended. The next holder can therefore continue where the previous holder stopped.
//
// Clocks: only the clock of the lease holder is trusted, as package lease describes.
//
// Missing answers: a step whose request got no answer may have been carried out. The holder requests the step again
// under the same idempotency key. The receiver at the node answers with the outcome of the first request.
package rollingupdate
