// Package version provides the version of the running program.
package version

import "runtime/debug"

// String returns the module version that the build recorded, or "unknown" if it
// recorded none.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
