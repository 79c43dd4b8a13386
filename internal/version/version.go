// Package version tells which build of the programs is running.
package version

import "runtime/debug"

// String returns the version that the build recorded.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
