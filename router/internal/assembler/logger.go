package assembler

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"coltsfootplank/internal/loader"
)

// newLogger returns a logger that writes to stderr.
func newLogger(settings *loader.Settings) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(settings.Log.Level)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	config := zap.NewProductionConfig()
	config.Level = level
	config.Encoding = settings.Log.Format
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.DisableStacktrace = true
	logger, err := config.Build()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return logger.With(zap.String("router", settings.Name)), nil
}
