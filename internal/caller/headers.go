package caller

// maxKeyBytes bounds a request key.
const maxKeyBytes = 128
