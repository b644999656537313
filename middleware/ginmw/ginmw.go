// Package ginmw adapts package middleware to gin. It is a separate package, so that applications without gin do not
// link gin.
package ginmw

import (
	"cobaltward/middleware"

	"github.com/gin-gonic/gin"
)

// New returns a handler for gin. The handler answers booking requests and aborts the rest of their handler chain. It
// passes other requests to the next handler. Register the handler with Engine.Use, which also covers requests that
// match no route. Handlers of a route or group receive only requests that match a route.
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
