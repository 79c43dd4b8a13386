// Package framing holds the rules by which a response over HTTP/1.1 counts as whole. All that read responses of
// endpoints go by them, directly or through other instances.
//
// The end of a connection is the end of a response only if all that was to be written to the connection has been: the
// error of a reset goes to the writer or to the reader, and the other one sees a regular end (Writes).
package framing
