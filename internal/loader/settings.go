package loader

import (
	"os"
	"time"
)

// Settings are the router's settings. They are read at start; a reload changes only the log level and the memory limit.
type Settings struct {
	// Name identifies the router among its peers; no two live routers may share it.
	Name string `yaml:"name" format:"name" required:"true" help:"unique name of this router"`
	// DataCentre is the data centre of the VM; engines in the same data centre are preferred.
	DataCentre string `yaml:"data_centre" format:"name" required:"true" help:"data centre of this VM"`
	// Callers is the endpoint for callers, who connect through the load balancer.
	Callers Endpoint `yaml:"callers" help:"addresses for callers"`
	// Peers is the endpoint for other routers.
	Peers Peers `yaml:"peers" help:"addresses for other routers"`
	// Admin is the endpoint for operators.
	Admin Admin `yaml:"admin" help:"address for operators"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `yaml:"platform" help:"services of the platform"`
	// Gateway configures serving published routes in place of the catalogue.
	Gateway Gateway `yaml:"gateway" help:"published routes in place of the catalogue"`
	// TLS holds the certificates of the three listeners.
	TLS TLS `yaml:"tls" help:"certificates of the listeners"`
	// Membership tunes failure detection.
	Membership Membership `yaml:"membership" help:"failure detection among routers"`
	// Scheduling tunes the schedulers of the pools.
	Scheduling Scheduling `yaml:"scheduling" help:"queues, grants and engine choice"`
	// Claims tunes the handling of requests with an idempotency key.
	Claims Claims `yaml:"claims" help:"requests with an idempotency key"`
	// Catalogue tunes the replication of the catalogue.
	Catalogue Catalogue `yaml:"catalogue" help:"replication of the catalogue"`
	// Drain tunes the planned stop.
	Drain Drain `yaml:"drain" help:"planned stop"`
	// Limits bounds what one router holds in memory.
	Limits Limits `yaml:"limits" help:"bounds of this router's memory"`
	// Log configures the log on stdout.
	Log Log `yaml:"log" help:"log lines on stdout"`
}

// Endpoint is one listener with the address that is advertised for it.
type Endpoint struct {
	// Listen is the address to bind; the IP may be 0.0.0.0 or [::].
	Listen string `yaml:"listen" unit:"IP:port" format:"listen" required:"true" help:"address to bind"`
	// Advertise is the address by which others reach Listen; if empty, it is Listen.
	Advertise string `yaml:"advertise" unit:"IP:port" format:"address" help:"address told to others; listen if empty"`
}

// Peers is the listener for other routers, with the seeds for joining them.
type Peers struct {
	// Listen is the address to bind; the IP may be 0.0.0.0 or [::].
	Listen string `yaml:"listen" unit:"IP:port" format:"listen" required:"true" help:"address to bind"`
	// Advertise is the address by which other routers reach Listen; if empty, it is Listen.
	Advertise string `yaml:"advertise" unit:"IP:port" format:"address" help:"address told to other routers; listen if empty"`
	// Seeds are peer addresses of some routers. The VM list adds others, so none of them has to be reachable.
	Seeds []string `yaml:"seeds" unit:"IP:port" format:"address" help:"peer addresses of some other routers"`
}

// Admin is the listener for operators.
type Admin struct {
	// Listen is the address to bind. TLS client certificates are its only authentication.
	Listen string `yaml:"listen" unit:"IP:port" format:"listen" required:"true" help:"address of the administration API"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Log is the append-only log service.
	Log Service `yaml:"log" help:"log service (required)"`
	// VMList is the list of live and leaving VMs; without it the seeds must suffice.
	VMList Service `yaml:"vm_list" help:"VM list (optional)"`
	// WeightStore holds model weights; the router only has to respect its rate limit.
	WeightStore WeightStore `yaml:"weight_store" help:"rate limit of the weight store"`
}

// Service is one platform service. Protocol names a plug-in.
type Service struct {
	// Protocol is the name of the adapter plug-in.
	Protocol string `yaml:"protocol" format:"name" help:"adapter plug-in"`
	// Address is the address of the service; empty means that there is none.
	Address string `yaml:"address" unit:"IP:port" format:"address" help:"address of the service; empty means none"`
}

// WeightStore is the rate limit of the weight store, which all routers share. The engines fetch the weights themselves.
type WeightStore struct {
	// LoadsPerMinute is the rate limit of the store for the whole system, not for each router.
	LoadsPerMinute int `yaml:"loads_per_minute" unit:"loads per minute" min:"1" max:"6000" help:"model loads that all routers together may order"`
}

// Drain tunes the planned stop.
type Drain struct {
	// Delay is the time between the first failing readiness check and the first refusal. It lets the load balancer
	// notice the stop before requests are refused.
	Delay time.Duration `yaml:"delay" unit:"duration" min:"0s" max:"5m" help:"wait for the load balancer before new requests are refused"`
	// Timeout bounds the wait for accepted requests. It should exceed the longest deadline in the catalogue.
	Timeout time.Duration `yaml:"timeout" unit:"duration" min:"1s" max:"24h" help:"longest wait for accepted requests to finish"`
	// GracePeriod is the time from the signal to stop until the process is killed; 0 if it isn't killed.
	GracePeriod time.Duration `yaml:"grace_period" unit:"duration" min:"0s" max:"24h" help:"time after which the process is killed; the planned stop ends before; 0s means that it isn't killed"`
}

const (
	// killMargin is left between the end of a planned stop and the end of the grace period, for the last refusals.
	killMargin = 500 * time.Millisecond
	// minStopPerDelay is the least ratio of the planned stop to its delay, so that the requests accepted in the delay have
	// longer to finish.
	minStopPerDelay = 3
)

// WithinGracePeriod returns the delay and the timeout of a planned stop, shortened so that it ends before the process is
// killed.
func (d Drain) WithinGracePeriod() (delay, timeout time.Duration) {
	if d.GracePeriod <= 0 {
		return d.Delay, d.Timeout
	}
	available := max(0, d.GracePeriod-killMargin)
	delay = min(d.Delay, available/minStopPerDelay)
	return delay, min(d.Timeout, available-delay)
}

// Limits bounds the memory that one router uses and states its share of the processor.
type Limits struct {
	// MaxWaiting bounds the requests that this router holds, waiting or in flight.
	MaxWaiting int `yaml:"max_waiting" unit:"requests" min:"1" max:"1000000" help:"requests held at once; more are refused as overloaded"`
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int64 `yaml:"max_body_bytes" unit:"bytes" min:"1024" max:"67108864" help:"longest request body"`
	// ProcessorShare is the share of a core that the VM gives the router; 0 if it isn't known. Schedulers run on the
	// VMs with the largest shares.
	ProcessorShare float64 `yaml:"processor_share" unit:"cores" min:"0" max:"1024" help:"share of a core that the VM gives this router; schedulers run on the strongest VMs; 0 means that it isn't known"`
	// MemoryMB is the soft memory limit of the Go runtime; 0 means no limit.
	MemoryMB int `yaml:"memory_mb" unit:"MB" min:"0" max:"1048576" help:"memory that garbage collection keeps to; half of it bounds the long bodies of all published requests together, a quarter the short ones, an eighth unfinished heads, a quarter connections, and seven eighths all of these; 0 means no bound"`
	// MaxHeaderBytes is the maximum size of a request's headers.
	MaxHeaderBytes int `yaml:"max_header_bytes" unit:"bytes" min:"1024" max:"1048576" help:"longest request headers"`
	// MaxHeaderLineBytes is the maximum size of a request line or of one header field.
	MaxHeaderLineBytes int `yaml:"max_header_line_bytes" unit:"bytes" min:"1024" max:"1048576" help:"longest request line or header field; longer ones are refused with 431"`
	// MaxHeaderFields is the maximum number of a request's header fields.
	MaxHeaderFields int `yaml:"max_header_fields" unit:"fields" min:"16" max:"65536" help:"most header fields of a request; more are refused with 431"`
	// MaxConnections bounds the connections of all clients; 0 derives it from Descriptors and MemoryMB.
	MaxConnections int `yaml:"max_connections" unit:"connections" min:"0" max:"1000000" help:"open connections of all clients; then unfinished and idle ones are closed for new ones; 0 derives it from descriptors and memory_mb"`
	// MaxUnfinishedPerAddress bounds the connections of one address that haven't sent a whole head; 0 derives it.
	MaxUnfinishedPerAddress int `yaml:"max_unfinished_per_address" unit:"connections" min:"0" max:"1000000" help:"connections of one IP address that haven't sent a whole head; then the oldest is closed; 0 means half of the listener's connections"`
	// Descriptors is the limit of open descriptors; 0 means that of the process.
	Descriptors int `yaml:"descriptors" unit:"descriptors" min:"0" max:"10000000" help:"descriptors of this VM; a quarter is kept for engines, peers and the directory; 0 means the limit of the process"`
}

// Log configures the log on stdout.
type Log struct {
	// Level is the lowest level that is logged.
	Level string `yaml:"level" oneof:"debug,info,warn,error" required:"true" help:"lowest level logged"`
	// Format is json for machine-readable lines or console for human-readable ones.
	Format string `yaml:"format" oneof:"json,console" required:"true" help:"format of the lines"`
}

// Load reads and checks a settings file over the defaults. The error is a SettingsErrors list.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, SettingsErrors{&ReadError{Position: Position{File: file}, Cause: err}}
	}
	return Parse(file, data)
}

// Parse is like Load for text that is already in memory; file is used in the problems only.
func Parse(file string, data []byte) (*Settings, error) {
	settings := Defaults()
	d, fatal := decode(file, data, &settings)
	if fatal != nil {
		return nil, fatal
	}
	settings.fillAdvertised()
	d.locate(settings.validate(d.failed))
	d.problems.sort()
	if err := d.problems.Err(); err != nil {
		return nil, err
	}
	return &settings, nil
}

// fillAdvertised sets empty advertised addresses to the bound ones.
func (s *Settings) fillAdvertised() {
	if s.Callers.Advertise == "" {
		s.Callers.Advertise = s.Callers.Listen
	}
	if s.Peers.Advertise == "" {
		s.Peers.Advertise = s.Peers.Listen
	}
}
