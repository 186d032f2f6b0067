// Package awtelemetry sets up logging, metrics and tracing for a process.
package awtelemetry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// NewLogger returns a logger that writes JSON lines to w. Each line has the
// time, the process and the instance.
func NewLogger(w io.Writer, process, instance string) log.Logger {
	l := log.NewJSONLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.AllowInfo())
	return log.With(l, "Time", log.DefaultTimestampUTC, "Process", process, "Instance", instance)
}

// MetricsHandler serves the metrics of the process in the Prometheus text
// format.
func MetricsHandler(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

// TraceConfig configures tracing. An empty Endpoint disables it.
type TraceConfig struct {
	Endpoint    string  // URL of an OTLP collector over HTTP
	SampleRatio float64 // fraction of new traces to keep, 0 to 1
}

const (
	// Limits the memory used for spans while the collector is unavailable.
	maxQueuedSpans = 1024
	exportTimeout  = 2 * time.Second
)

var propagator = propagation.TraceContext{}

// NewTracer returns the tracer of a process and a function that flushes its
// spans and shuts it down. If the collector is unavailable, spans are dropped;
// requests never block on it.
func NewTracer(ctx context.Context, cfg TraceConfig, process string) (trace.Tracer, func(context.Context) error, error) {
	if cfg.Endpoint == "" {
		return noop.NewTracerProvider().Tracer(process), func(context.Context) error { return nil }, nil
	}
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint), otlptracehttp.WithTimeout(exportTimeout))
	if err != nil {
		return nil, nil, eris.Wrap(err, "create trace exporter")
	}
	tp := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp, sdktrace.WithMaxQueueSize(maxQueuedSpans), sdktrace.WithExportTimeout(exportTimeout)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", process))),
	)
	return tp.Tracer(process), tp.Shutdown, nil
}

// Inject returns the W3C traceparent of the span in ctx, or "" if there is none.
func Inject(ctx context.Context) string {
	c := propagation.MapCarrier{}
	propagator.Inject(ctx, c)
	return c["traceparent"]
}

// Extract returns ctx with the remote span context given by a W3C traceparent.
func Extract(ctx context.Context, traceparent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}
