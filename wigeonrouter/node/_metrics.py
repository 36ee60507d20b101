"""Request metrics of a node and the HTTP handler that exposes them."""

import dataclasses

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import observability

_PATH = "/metrics"
_MAX_BODY_BYTES = 4 << 10


class MetricsHandler:
    """Serves the metrics on the control address.

    Args:
      metrics: observability.Metrics.
      read_gauges: function that returns an observability.Gauges.
    """

    def __init__(self, *, metrics, read_gauges):
        self._metrics = metrics
        self._read_gauges = read_gauges

    def body_limit(self, request):
        """Return the maximum request body size in bytes."""
        return _MAX_BODY_BYTES

    def handle(self, request, arrived):
        """Return the metrics, or a 404 response for any other path."""
        path = request.target.decode("latin-1").partition("?")[0]
        if path != _PATH:
            return http1.HttpResponse(
                status=core.problems.NO_ROUTE.status, headers=(), body=b""
            )
        content_type = observability.METRICS_CONTENT_TYPE.encode()
        return http1.HttpResponse(
            status=200,
            headers=((b"content-type", content_type),),
            body=observability.expose(
                metrics=self._metrics, gauges=self._read_gauges()
            ),
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetrics:
    """Records finished requests by service, route and host.

    All latencies are in seconds, from the arrival of the request on.
    """

    metrics: observability.Metrics

    def record_response(self, *, service, route, status, latency):
        """Record a request that got a backend server's response."""
        outcome = core.Outcome.OK if status < 500 else core.Outcome.FAILED
        self._observe(service, route, outcome, "", latency)

    def record_rejection(self, *, service, route, problem, latency):
        """Record a request that the node rejected or failed.

        Args:
          service: name of the service, empty if no route matched.
          route: topology.Route, None if no route matched.
          problem: core.ProblemType.
          latency: seconds.
        """
        self._observe(service, route, problem.outcome, problem.name, latency)

    def record_caller_disconnect(self, *, service, route, latency):
        """Record a request whose caller disconnected before the response."""
        self._observe(
            service, route, core.Outcome.UNKNOWN, "caller-gone", latency
        )

    def _observe(self, service, route, outcome, problem, latency):
        self.metrics.observe(
            observability.RequestSample(
                service=service,
                kind=route.name if route else "",
                tenant=route.host if route else "",
                outcome=outcome,
                problem=problem,
                latency=latency,
            )
        )
