package router

import "cobaltward/internal/safeguards"

// WithoutGuards disables safeguards of the engine. With it, a test shows that it detects the absence of a safeguard.
// It is for tests and rehearsals only; the type of w is internal to this Go module.
func WithoutGuards(w safeguards.Overrides) Option { return func(o *options) { o.disabledGuards = w } }
