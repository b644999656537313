// Package ginmw adapts package middleware to gin. It is a package of its own so that other applications do not link
// gin.
package ginmw

import (
	"cobaltward/middleware"

	"github.com/gin-gonic/gin"
)

// New returns a handler for gin's Use: it answers booking requests and aborts their chain, and leaves all others to the
// handlers behind it. It runs only where gin runs its middleware: give it to an Engine with Use, which also covers
// requests without a route.
func New(frontend *middleware.Frontend) gin.HandlerFunc {
	return func(c *gin.Context) {
		if !frontend.Handles(c.Request) {
			c.Next()
			return
		}
		frontend.ServeHTTP(c.Writer, c.Request)
		c.Abort()
	}
}
