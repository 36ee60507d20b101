"""Guards against wrong latencies, unbounded series and unreadable metrics."""

from prometheus_client import parser
import pytest

from wigeonrouter import core
from wigeonrouter import observability
from wigeonrouter import request_path
from wigeonrouter.observability import _metrics


@pytest.fixture
def clock():
    """A clock whose time in seconds the test sets as now[0]."""
    now = [100.0]

    def read():
        return now[0]

    read.now = now
    return read


@pytest.fixture
def metrics(clock):
    """Metrics with a clock that the test sets."""
    return observability.Metrics(clock=clock)


def _observe(metrics, *, latency, tenant="t", service="/a", count=1):
    for _ in range(count):
        metrics.observe(
            request_path.RequestRecord(
                request_id="r",
                service=service,
                kind="read",
                tenant=tenant,
                server="g/s",
                problem="",
                outcome=core.Outcome.OK,
                latency=latency,
            )
        )


def test_window_drops_old_latencies_and_total_keeps_them(metrics, clock):
    """Guards against expired latencies in the window and incomplete totals."""
    key = ("/a", "read", "t")
    _observe(metrics, latency=1.0, count=10)
    clock.now[0] += 30
    _observe(metrics, latency=0.01, count=10)
    count, quantiles = metrics.quantiles(key)
    assert count == 20 and quantiles[50] == pytest.approx(0.01, rel=0.02)
    assert quantiles[99] == pytest.approx(1.0, rel=0.02)
    assert metrics.total(key) == (20, pytest.approx(10.1))
    clock.now[0] += 35
    metrics.rotate()
    count, quantiles = metrics.quantiles(key)
    assert count == 10 and quantiles[99] == pytest.approx(0.01, rel=0.02)
    clock.now[0] += 1000
    metrics.rotate()
    assert metrics.quantiles(key) == (0, {})
    assert metrics.total(key)[0] == 20
    assert metrics.summary()[0]["count"] == 20


def test_series_are_bounded(metrics):
    """Guards against unbounded memory use by many tenant names."""
    for number in range(1000):
        _observe(metrics, latency=0.01, tenant=f"tenant-{number}")
    for number in range(1000):
        _observe(metrics, latency=0.01, service=f"/s{number}", tenant="u")
    assert len(metrics.keys()) <= _metrics.MAX_SERIES
    assert sum(row["count"] for row in metrics.summary()) == 2000
    assert len(metrics.counts) <= 2 * _metrics.MAX_SERIES


def test_text_format_can_be_parsed(metrics):
    """Guards against label values that corrupt the text format."""
    _observe(metrics, latency=0.01, tenant='x"\n\\y', count=3)
    text = observability.expose(
        metrics=metrics,
        gauges=observability.Gauges(
            revision=7,
            ready=True,
            members={"alive": 3},
            services=(
                observability.ServiceGauges(
                    service="/a",
                    queue_length=2,
                    in_flight=4,
                    limited_servers=3,
                    waiting_by_rank={(0, 1): 5},
                    not_served_by_rank={(2, 1): 6},
                    starved=1,
                ),
            ),
            unanswered_requests=1,
            store_era=2,
            store_copy_age=1.5,
            connections_opened=9,
            connections_exhausted=2,
            quota_tokens={"granted": 8},
            quota_near_limit=5,
        ),
    ).decode()
    samples = {
        (sample.name, sample.labels.get("tenant")): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }
    assert samples["wigeonrouter_revision", None] == 7
    assert samples["wigeonrouter_store_era", None] == 2
    assert samples["wigeonrouter_store_copy_age_seconds", None] == 1.5
    assert samples["wigeonrouter_server_connections_opened_total", None] == 9
    assert (
        samples["wigeonrouter_server_connections_exhausted_total", None] == 2
    )
    assert samples["wigeonrouter_quota_tokens_total", None] == 8
    assert samples["wigeonrouter_quota_tenants_near_limit", None] == 5
    assert samples["wigeonrouter_queue_length", None] == 2
    assert samples["wigeonrouter_limited_servers", None] == 3
    assert samples["wigeonrouter_waiting", None] == 5
    assert samples["wigeonrouter_not_served_total", None] == 6
    assert samples["wigeonrouter_starved_ranks", None] == 1
    assert samples["wigeonrouter_in_flight", None] == 4
    assert samples["wigeonrouter_requests_total", 'x"\n\\y'] == 3
    assert samples["wigeonrouter_latency_seconds_count", 'x"\n\\y'] == 3
