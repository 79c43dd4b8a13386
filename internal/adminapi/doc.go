// Package adminapi is the interface that each instance offers to operators:
// paths, JSON types and a client. Every call carries the operator's key as
// "Authorization: Bearer <key>". An instance answers for itself; instances,
// endpoints and pools are shown as it sees them, within its zone.
package adminapi
