// Package eligible says which endpoints could serve a piece of work. The
// owner of endpoints and the entry instance that asks it use the same rule,
// so that a promise for "all endpoints that could serve the work" means the
// same to both; Digest lets them find out when they don't see the same set.
package eligible
