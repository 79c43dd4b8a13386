package caller

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 128
