package router

import "cobaltward/internal/safeguards"

// WithoutGuards disables safeguards of the engine. A test disables a safeguard to show that the test detects its
// absence. WithoutGuards is for tests and rehearsals only. The type of w is internal to this Go module.
func WithoutGuards(w safeguards.Overrides) Option { return func(o *options) { o.disabledGuards = w } }
