// Package adminapi defines the HTTP interface of an instance for operators: paths,
// JSON types and a client. Every call carries the operator's key as
// "Authorization: Bearer <key>". The responses describe the instance itself, and
// instances, endpoints and pools according to its local state.
package adminapi
