package gateway

// IsReader tells whether the instance of a name reads the targets from the store when it
// starts.
var IsReader = isReader
