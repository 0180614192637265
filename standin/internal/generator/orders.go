package generator

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

// applyOrder checks and applies an order. Errors: *UnknownOrdererError, *StaleOrderError, *InvalidRequestError.
func (e *Engine) applyOrder(order kernel.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOrder(order); err != nil {
		e.stats.OrdersRefused++
		return err
	}
	e.stats.OrdersAccepted++
	e.inst.highestFencing = max(e.inst.highestFencing, order.Fencing)
	e.log.Info("order accepted", zap.String("engine", e.settings.Name), zap.String("kind", string(order.Kind)),
		zap.Int64("fencing", order.Fencing), zap.String("orderer", order.Orderer))
	if order.Kind == kernel.OrderSetRole {
		e.inst.role = order.Role
		return nil
	}
	e.loadModel(e.inst, order.Model)
	return nil
}

func (e *Engine) checkOrder(order kernel.Order) error {
	if e.settings.ChecksOrderer && !slices.Contains(e.settings.Orderers, order.Orderer) {
		return &UnknownOrdererError{Orderer: order.Orderer}
	}
	_, ignore := e.table.Get(FaultIgnoreFencing)
	if e.settings.ChecksFencing && !ignore && order.Fencing < e.inst.highestFencing {
		return &StaleOrderError{Fencing: order.Fencing, Highest: e.inst.highestFencing}
	}
	switch order.Kind {
	case kernel.OrderLoadModel, kernel.OrderLoadAdapter:
		if order.Model == "" {
			return &InvalidRequestError{Reason: "model is missing"}
		}
	case kernel.OrderSetRole:
	default:
		return &InvalidRequestError{Reason: "unknown order kind " + string(order.Kind)}
	}
	return nil
}

// loadModel makes a model available after the configured load time.
func (e *Engine) loadModel(inst *instance, model string) {
	e.group.Go(func() error {
		select {
		case <-inst.ctx.Done():
			return nil
		case <-time.After(milliseconds(e.settings.ModelLoadMS)):
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(inst.models) > 0 {
			inst.models[model] = struct{}{}
		}
		return nil
	})
}

// exportPrefix returns a cached prefix, or an *UnknownPrefixError.
func (e *Engine) exportPrefix(hash uint64) (ExportedPrefix, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, ok := e.inst.cache.get(hash)
	if !ok {
		return ExportedPrefix{}, &UnknownPrefixError{Hash: hash}
	}
	return ExportedPrefix{Hash: hash, Tokens: entry.tokens, Cost: entry.cost}, nil
}

// importPrefix adds an exported prefix of another engine to the cache. Errors: *InvalidRequestError.
func (e *Engine) importPrefix(hash uint64, exported ExportedPrefix) error {
	if exported.Hash != hash || exported.Tokens <= 0 || exported.Cost < 0 {
		return &InvalidRequestError{Reason: "the body is not an export of this prefix"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inst.cache.add(prefix{hash: hash, tokens: exported.Tokens, cost: exported.Cost})
	e.shrinkCache(e.inst)
	e.recordLoad()
	return nil
}

// ExportedPrefix represents the cached KV state of a prefix by its size.
type ExportedPrefix struct {
	Hash   uint64 `json:"hash"`
	Tokens int    `json:"tokens"`
	Cost   int    `json:"cost"`
}
