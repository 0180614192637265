package assembler

import (
	"time"

	"golang.org/x/time/rate"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/dispatcher"
	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/leaser"
	"coltsfootplank/internal/ranker"
)

// ordererRole is the role of the router that sends orders to engines. One router sends all of them, so that its limiter
// keeps the whole system within the rate limit of the weight store.
const ordererRole = "weights"

// newOrderer returns the orderer, which brings the engines to the state that the catalogue specifies.
func (c *catalogueMode) newOrderer(clients *dispatcher.Clients) *leaser.Orderer {
	perMinute := c.settings.Platform.WeightStore.LoadsPerMinute
	return leaser.NewOrderer(c.leaser, leaser.OrdererOptions{
		Catalogue: c.cataloguer.Current,
		Assigned: func(string) bool {
			return ranker.First(ordererRole, c.detector.View().Eligible()) == c.settings.Name
		},
		Engine: func(upstream *cataloguer.Upstream) (kernel.EngineProtocol, error) {
			return clients.Engine(c.protocolOf(upstream.Name), upstream.Address)
		},
		ModelLoads: rate.NewLimiter(rate.Every(time.Minute/time.Duration(perMinute)), 1),
	}, c.logger.Logger)
}

// protocolOf returns the protocol of the pool that an upstream belongs to.
func (c *catalogueMode) protocolOf(upstream string) string {
	for _, pool := range c.cataloguer.Current().Pools {
		for i := range pool.Upstreams {
			if pool.Upstreams[i].Name == upstream {
				return pool.Protocol
			}
		}
	}
	return ""
}
