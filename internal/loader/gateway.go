package loader

import (
	"slices"
	"time"
)

// Gateway configures the router to serve the routes that operators publish in the platform's directory, in place of the
// catalogue's entries. Bodies are forwarded to upstreams and relayed to callers unchanged.
type Gateway struct {
	// Directory holds the operator's configuration and the registrations of upstreams. Without an address the router
	// serves the catalogue.
	Directory Service `yaml:"directory" help:"directory of published routes and upstreams; with an address, the router serves these in place of the catalogue"`
	// Dialect names the plug-in that translates the headers of callers and upstreams.
	Dialect string `yaml:"dialect" format:"name" help:"plug-in for the headers of callers and upstreams"`
	// Reporter names the plug-in that reads the load reports of model engines.
	Reporter string `yaml:"reporter" format:"name" help:"plug-in for the load reports of model engines; empty means that they aren't read"`
	// Readiness is the endpoint for the load balancer's readiness check.
	Readiness Readiness `yaml:"readiness" help:"readiness check of the load balancer"`
	// WatchWait is the longest time that the directory may hold a read for a new configuration (long polling).
	WatchWait time.Duration `yaml:"watch_wait" unit:"duration" min:"100ms" max:"30s" help:"longest wait of a read for a new configuration; a silent connection is noticed after it"`
	// PollInterval is the time between two reads of the registrations.
	PollInterval time.Duration `yaml:"poll_interval" unit:"duration" min:"100ms" max:"30s" help:"time between two reads of the upstreams' registrations"`
	// LapseGrace is how long after its last failed read of the directory a router uses upstreams whose registration is
	// dropped. It may have lapsed in an outage, after which its upstream renews it.
	LapseGrace time.Duration `yaml:"lapse_grace" unit:"duration" min:"0s" max:"30s" help:"time after a router's last failed read of the directory in which it uses upstreams without a registration"`
	// Heartbeat is the interval at which upstreams renew their registrations in the directory, which drops a registration after
	// three intervals of silence.
	Heartbeat time.Duration `yaml:"heartbeat" unit:"duration" min:"10ms" max:"30s" help:"interval at which upstreams renew their registrations; the directory drops one after three of them"`
	// MemberInterval is the time between two reads of the routers' own records in the directory.
	MemberInterval time.Duration `yaml:"member_interval" unit:"duration" min:"100ms" max:"1h" help:"time between two reads of the routers' records in the directory"`
	// RepeatRatio is the share of a service's requests that all routers together may send to another upstream.
	RepeatRatio float64 `yaml:"repeat_ratio" unit:"share of 1" min:"0" max:"1" help:"share of a service's requests that all routers together may send to a further upstream"`
	// RepeatSlack is the number of such repeats allowed in addition to RepeatRatio, in each budget window.
	RepeatSlack float64 `yaml:"repeat_slack" unit:"requests" min:"0" max:"1000000" help:"repeats of a service allowed besides, in each budget window"`
	// IdlePerUpstream is the maximum number of idle connections kept to each upstream.
	IdlePerUpstream int `yaml:"idle_per_upstream" unit:"connections" min:"0" max:"10000" help:"idle connections kept to each upstream"`
	// Rollouts configures rollouts of a new version of a service.
	Rollouts Rollouts `yaml:"rollouts" help:"rollouts of a new version of a service, ordered in the directory"`
}

// Rollouts configures rollouts of a new version of a service.
type Rollouts struct {
	// Features are the names of the features that the deployment asks for, of any part of the router. FeatureRollout among
	// them turns rollouts on. Without it, orders are ignored and engines of every version are used.
	Features []string `yaml:"features" unit:"names" help:"features that the deployment asks for; rollout among them carries out orders of rollouts, otherwise engines of every version are used"`
	// ExposureShare and ExposureSlack bound the requests to a version that may be bad.
	ExposureShare float64 `yaml:"exposure_share" unit:"share of 1" min:"0" max:"1" help:"share of a service's requests since the order that a bad version may get"`
	ExposureSlack float64 `yaml:"exposure_slack" unit:"requests" min:"0" max:"1000000" help:"requests that a bad version may get besides"`
}

// FeatureRollout is the name of the feature that turns rollouts on.
const FeatureRollout = "rollout"

// Enabled reports whether rollouts are carried out.
func (r Rollouts) Enabled() bool { return slices.Contains(r.Features, FeatureRollout) }

// Enabled reports whether the router serves published routes.
func (g Gateway) Enabled() bool { return g.Directory.Address != "" }

// Readiness configures the listener for the load balancer's readiness check.
type Readiness struct {
	// Listen is the address to bind.
	Listen string `yaml:"listen" unit:"IP:port" format:"listen" help:"address of the readiness check"`
	// Path is the path of the check. The answer is 200 while the router accepts requests, else 503.
	Path string `yaml:"path" help:"path of the readiness check"`
}
