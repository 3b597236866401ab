// Package catalog provides the data by which an instance steers requests: the configuration
// (routes, services, limits and client accounts) and the targets.
//
// A Router selects the route of a request by its host and the longest matching prefix of its
// path. A route names the service that runs the request, or several services with weights.
// A client account is the party that a request belongs to, identified by a secret key.
//
// A target is one incarnation of a server that runs requests. A server that starts again,
// under the same name or another, is a new target.
//
// Configurations and targets are not modified after they have been created.
package catalog
