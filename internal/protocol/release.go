// Package protocol holds the messages between routers and of the administration API. All files but this one are
// generated.
package protocol

// NotRun reports whether the release states that the request did not run, so that it may wait for another grant.
func (k ReleaseKind) NotRun() bool {
	switch k {
	case ReleaseKind_RELEASE_KIND_UNUSED, ReleaseKind_RELEASE_KIND_UNREACHABLE, ReleaseKind_RELEASE_KIND_SHED:
		return true
	default:
		return false
	}
}
