package awcommand

import (
	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/trace"
)

// environment is what every daemon is started with.
type environment struct {
	logger log.Logger
	tracer trace.Tracer
}
