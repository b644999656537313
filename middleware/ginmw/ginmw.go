// Package ginmw puts the middleware of package middleware into a gin application. It is a package of
// its own, so that who does not use gin does not link it.
package ginmw

import (
	"cobaltward/middleware"

	"github.com/gin-gonic/gin"
)

// New returns a handler for gin's Use: it answers booking requests and ends their chain, and leaves
// the rest to the handlers behind it. Requests reach it only where gin's router runs the middleware:
// give it to an Engine with Use, which covers requests without a route of their own as well.
func New(f *middleware.Frontend) gin.HandlerFunc {
	return func(c *gin.Context) {
		if !f.Handles(c.Request) {
			c.Next()
			return
		}
		f.ServeHTTP(c.Writer, c.Request)
		c.Abort()
	}
}
