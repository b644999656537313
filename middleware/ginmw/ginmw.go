// Package ginmw adapts package middleware to gin. It is a separate package so that applications without gin do not
// link it.
package ginmw

import (
	"cobaltward/middleware"

	"github.com/gin-gonic/gin"
)

// New returns a handler for gin's Use: it answers booking requests and aborts their handler chain, and passes all
// others to the next handlers. Register it with Engine.Use, which also covers requests without a route; handlers of a
// route or group see only requests that match a route.
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
