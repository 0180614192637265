package cataloguer

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
)

// maxKeyBytes is the maximum length of a bearer key, so that a key can be hashed from a buffer on the stack.
const maxKeyBytes = 512

type pathKey struct {
	method string
	path   string
}

type index struct {
	workspaces map[string]*Workspace
	pools      map[string]*Pool
	works      map[string]*Work
	models     map[string]*Work
	paths      map[pathKey]*Work
	keys       map[[sha256.Size]byte]*Workspace
	upstreams  map[string]*Upstream
}

// Index builds the lookup tables and returns the catalogue. It must be called before the first lookup. Parse and the
// fold call it for the catalogues that they create.
func (c *Catalogue) Index() *Catalogue {
	ix := &index{
		workspaces: make(map[string]*Workspace, len(c.Workspaces)),
		pools:      make(map[string]*Pool, len(c.Pools)),
		works:      make(map[string]*Work, len(c.Works)),
		models:     make(map[string]*Work, len(c.Works)),
		paths:      make(map[pathKey]*Work, len(c.Works)),
		keys:       make(map[[sha256.Size]byte]*Workspace, len(c.Workspaces)),
		upstreams:  make(map[string]*Upstream),
	}
	for i := range c.Workspaces {
		ix.addWorkspace(&c.Workspaces[i])
	}
	for i := range c.Pools {
		pool := &c.Pools[i]
		ix.pools[pool.Name] = pool
		for j := range pool.Upstreams {
			ix.upstreams[pool.Upstreams[j].Name] = &pool.Upstreams[j]
		}
	}
	for i := range c.Works {
		work := &c.Works[i]
		ix.works[work.Name] = work
		if work.Model != "" {
			ix.models[work.Model] = work
		}
		if work.Path != "" {
			ix.paths[pathKey{method: work.HTTPMethod(), path: work.Path}] = work
		}
	}
	c.index = ix
	return c
}

func (ix *index) addWorkspace(workspace *Workspace) {
	ix.workspaces[workspace.Name] = workspace
	for _, text := range workspace.KeyHashes {
		var digest [sha256.Size]byte
		if n, err := hex.Decode(digest[:], []byte(text)); err == nil && n == len(digest) {
			ix.keys[digest] = workspace
		}
	}
}

// WorkByModel returns the work that requests for this model use.
func (c *Catalogue) WorkByModel(model string) (*Work, bool) {
	work, ok := c.index.models[model]
	return work, ok
}

// WorkByPath returns the work for a service call. A catalogue path that ends in a slash matches every path below it. An
// exact match takes precedence, then the longest matching path.
func (c *Catalogue) WorkByPath(method, path string) (*Work, bool) {
	if work, ok := c.index.paths[pathKey{method: method, path: path}]; ok {
		return work, true
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if work, ok := c.index.paths[pathKey{method: method, path: path[:end+1]}]; ok {
			return work, true
		}
	}
	return nil, false
}

// WorkspaceByKey returns the workspace that a bearer key belongs to.
func (c *Catalogue) WorkspaceByKey(bearer string) (*Workspace, bool) {
	if bearer == "" || len(bearer) > maxKeyBytes {
		return nil, false
	}
	var buffer [maxKeyBytes]byte
	workspace, ok := c.index.keys[sha256.Sum256(buffer[:copy(buffer[:], bearer)])]
	return workspace, ok
}

// Workspace returns the workspace called name.
func (c *Catalogue) Workspace(name string) (*Workspace, bool) {
	workspace, ok := c.index.workspaces[name]
	return workspace, ok
}

// Pool returns the pool called name.
func (c *Catalogue) Pool(name string) (*Pool, bool) {
	pool, ok := c.index.pools[name]
	return pool, ok
}

// Work returns the work called name.
func (c *Catalogue) Work(name string) (*Work, bool) {
	work, ok := c.index.works[name]
	return work, ok
}

// Upstream returns the upstream called name, of any pool.
func (c *Catalogue) Upstream(name string) (*Upstream, bool) {
	upstream, ok := c.index.upstreams[name]
	return upstream, ok
}

// HTTPMethod returns the method of a service call; the default is POST.
func (w *Work) HTTPMethod() string {
	if w.Method == "" {
		return http.MethodPost
	}
	return w.Method
}

// KeyRequired reports whether requests without an Idempotency-Key are refused. The default is true for work that is not
// idempotent.
func (w *Work) KeyRequired() bool {
	if w.RequireKey != nil {
		return *w.RequireKey
	}
	return !w.Idempotent
}

// Allows reports whether a workspace may submit this work; an empty list allows all workspaces.
func (w *Work) Allows(workspace string) bool {
	if len(w.Workspaces) == 0 {
		return true
	}
	for _, name := range w.Workspaces {
		if name == workspace {
			return true
		}
	}
	return false
}
