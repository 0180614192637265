package assembler

import (
	"go.uber.org/zap"

	"coltsfootplank/internal/recorder"
)

// loggedEvents maps the kinds of events that are logged to their messages. The other kinds can be inferred from these.
var loggedEvents = map[recorder.Kind]string{
	recorder.Granted:  "request granted",
	recorder.Returned: "grant returned unused",
	recorder.Claimed:  "request claimed",
	recorder.Resumed:  "stream resumed",
	recorder.Released: "grant released",
	recorder.Answered: "request answered",
	recorder.Refused:  "request refused",
}

// eventLogger returns a function that logs one line for each event in loggedEvents.
func eventLogger(logger *zap.Logger) func(recorder.Event) {
	return func(event recorder.Event) {
		message, ok := loggedEvents[event.Kind]
		if !ok {
			return
		}
		fields := make([]zap.Field, 0, 12)
		fields = append(fields, zap.String("request_id", event.RequestID), zap.String("workspace", event.Workspace),
			zap.String("work", event.Work), zap.String("pool", event.Pool), zap.Int("tier", event.Tier),
			zap.Int64("age_ms", event.AgeMS))
		for _, text := range []struct{ name, value string }{
			{"upstream", event.Upstream}, {"outcome", event.Outcome}, {"code", event.Code}, {"detail", event.Detail},
		} {
			if text.value != "" {
				fields = append(fields, zap.String(text.name, text.value))
			}
		}
		if event.Version != 0 {
			fields = append(fields, zap.Int64("version", event.Version))
		}
		logger.Info(message, fields...)
	}
}
