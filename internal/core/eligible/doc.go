// Package eligible decides which endpoints could serve a request. The owner of
// endpoints and the entry instance that sends it reservations use the same rule,
// so that a guarantee for "all endpoints that could serve the work" means the
// same to both. Digest lets them detect that they know different sets of
// endpoints.
package eligible
