// Package protocol provides the names that callers, entry instances and targets
// share on HTTP: paths, headers and the body of a refusal.
package protocol
