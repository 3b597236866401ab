// Package config provides the accepted configuration: the document in the
// platform that holds the table, the way a change of it is accepted, and the
// audit trail of all accepted changes.
//
// Accepted changes are numbered from 1 without gaps. A change is accepted when
// a valid table was written conditionally on the document that it was made
// from. Each change carries an ID of its own, by which a writer whose reply was
// lost finds out whether it took effect. The latest changes stand in the
// document itself, so that a table and its audit record are one write; older
// ones are copied to the audit pages before they leave the document.
package config
