// Package awtelemetry sets up logs, metrics and traces of a process.
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

// NewLogger returns a logger of JSON lines that names the process.
func NewLogger(w io.Writer, process, instance string) log.Logger {
	l := log.NewJSONLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.AllowInfo())
	return log.With(l, "Time", log.DefaultTimestampUTC, "Process", process, "Instance", instance)
}

// MetricsHandler serves the metrics of the process in Prometheus' text format.
func MetricsHandler(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

// TraceConfig configures traces. An empty Endpoint turns them off.
type TraceConfig struct {
	Endpoint    string  // URL of an OTLP collector over HTTP
	SampleRatio float64 // share of new traces kept, 0 to 1
}

const (
	// A collector that is down costs at most one full queue of spans.
	spanQueue     = 1024
	exportTimeout = 2 * time.Second
)

var propagator = propagation.TraceContext{}

// NewTracer returns the tracer of a process and the function that flushes it.
// An exporter that is down drops spans and never blocks a request.
func NewTracer(ctx context.Context, cfg TraceConfig, process string) (trace.Tracer, func(context.Context) error, error) {
	if cfg.Endpoint == "" {
		return noop.NewTracerProvider().Tracer(process), func(context.Context) error { return nil }, nil
	}
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint), otlptracehttp.WithTimeout(exportTimeout))
	if err != nil {
		return nil, nil, eris.Wrap(err, "trace exporter")
	}
	tp := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp, sdktrace.WithMaxQueueSize(spanQueue), sdktrace.WithExportTimeout(exportTimeout)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", process))),
	)
	return tp.Tracer(process), tp.Shutdown, nil
}

// Inject returns the W3C traceparent of ctx; empty without a span.
func Inject(ctx context.Context) string {
	c := propagation.MapCarrier{}
	propagator.Inject(ctx, c)
	return c["traceparent"]
}

// Extract returns ctx with the remote span that the traceparent names.
func Extract(ctx context.Context, traceparent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}
