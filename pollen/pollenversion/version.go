package pollenversion

import (
	"runtime/debug"
	"sync"
)

// Protocol is the version of the calls between instances and of the stored values that this build knows. Instances state it in their
// registrations; those of the landings up to 5871f8a state none, which reads as 0. It rises with each call, field or stored value that
// other instances have to understand, and does not depend on how the program was built.
const Protocol = 1

// Unknown is the build of a program that was built without version control information.
const Unknown = "unknown"

// revision is the revision that the program was built from. The linker may set it, for builds with -buildvcs=false.
var revision string

// Build returns the revision that this program was built from, with "+dirty" if files had been changed, or Unknown.
var Build = sync.OnceValue(func() string {
	if revision != "" {
		return revision
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Unknown
	}
	return buildOf(info.Settings)
})

// shortRevision is the number of characters of a revision that are stated.
const shortRevision = 12

// buildOf returns the revision that the settings of a build state.
func buildOf(settings []debug.BuildSetting) string {
	build, suffix := Unknown, ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision" && s.Value != "":
			build = s.Value[:min(len(s.Value), shortRevision)]
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "+dirty"
		}
	}
	if build == Unknown {
		return build
	}
	return build + suffix
}
