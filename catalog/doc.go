// Package catalog provides what an instance steers by: the configuration
// (routes, services, limits), the targets, and the evacuated halls. All of it is
// immutable once made.
//
// A route is picked by the host and the longest prefix of the path. It names the
// service that runs the request, or several with weights. A target is one
// incarnation of a server: a server that starts again, under its name or another one, is
// another target.
package catalog
