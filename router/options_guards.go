package router

import "cobaltward/internal/safeguards"

// WithoutGuards disables safeguards of the engine, so that a test can show that it detects their absence. It is for
// tests and rehearsals only; the type of its parameter is internal to this Go module.
func WithoutGuards(w safeguards.Overrides) Option { return func(o *options) { o.disabledGuards = w } }
