package router

import "cobaltward/internal/safeguards"

// WithoutGuards disables safeguards of the engine. A test without a safeguard shows that the test detects the absence
// of the safeguard. WithoutGuards is for tests and rehearsals only. The type of w is internal to this Go module.
func WithoutGuards(w safeguards.Overrides) Option { return func(o *options) { o.disabledGuards = w } }
