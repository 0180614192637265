// Package isolator finds out what crashes engines: a request, which is recognised by the fingerprint of its content (a
// hash of workspace, entry and body), or a part of prompts, which unlike requests may have in common. What engines were
// running when they crashed is suspect; once it is found to be the cause, it is poison. Messages between routers call
// poison convicted.
//
// A request is found by its own crashes. A part is found by comparison, since each crash also affects requests that only
// ran on the same engine: the part was in a request of each crash, and no engine has answered a request with it since.
package isolator
