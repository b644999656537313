package router

import "cobaltward/internal/safeguards"

// WithoutGuards disables safeguards of the engine, so that a test can show that their absence is noticed.
// It is for tests and rehearsals only; the type of its parameter keeps it inside this Go module.
func WithoutGuards(w safeguards.Overrides) Option { return func(o *options) { o.disabledGuards = w } }
