// Package protocol holds the messages between routers and of the administration API, generated but for this file.
package protocol

// NotRun says whether the release states that the request did not run, so that it may wait for another grant.
func (k ReleaseKind) NotRun() bool {
	switch k {
	case ReleaseKind_RELEASE_KIND_UNUSED, ReleaseKind_RELEASE_KIND_UNREACHABLE, ReleaseKind_RELEASE_KIND_SHED:
		return true
	default:
		return false
	}
}
