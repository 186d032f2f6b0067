package awcommand

import (
	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/trace"
)

// environment holds the logger and the tracer of a daemon.
type environment struct {
	logger log.Logger
	tracer trace.Tracer
}
