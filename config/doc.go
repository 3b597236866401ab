// Package config provides the accepted configuration: the stored document that holds the operators'
// table, the procedure by which a change of it is accepted, and the audit trail of all accepted
// changes.
//
// Accepted changes are numbered from 1 without gaps. The number of the latest change is the version
// of the configuration. A change is accepted by a conditional write of a valid table, which succeeds
// only if the document is still the one from which the change was made. Each change has a unique ID.
// A writer whose reply was lost looks for this ID to find out whether its change was accepted.
//
// The latest changes are part of the document, so that a table and its audit record are one write.
// Older changes are copied to audit pages, which are objects of their own, before they are removed
// from the document.
package config
