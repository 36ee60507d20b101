"""Renders the metrics in the Prometheus text format."""

import collections
import dataclasses

import gevent
import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
_SERIES_LABELS = ("service", "kind", "tenant")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceGauges:
    """Values of one service at the time of a scrape.

    Attributes:
      queue_length: requests that wait for a slot.
      in_flight: requests at backend servers.
      limited_servers: backend servers that name a rate limit.
      excluded_servers: dict from the reason why backend servers get no request
        at present to their number.
      cold_servers: backend servers in their slow start.
      evacuated_domains: evacuated failure domains that have backend servers.
      waiting_by_rank: dict from a rank, which is the pair of the priorities of
        tenant and route, to the requests that wait for a slot.
      not_served_by_rank: dict from a rank to the requests that got no server
        since the start.
      starved: pairs of rank and tenant that are served too rarely.
      spill_over_shares: dict from locality to the share of the requests that
        may go there, empty if spill-over is off.
      requests_by_locality: dict from locality to the requests sent there.
    """

    service: str
    queue_length: int
    in_flight: int
    limited_servers: int = 0
    excluded_servers: dict = dataclasses.field(default_factory=dict)
    cold_servers: int = 0
    evacuated_domains: int = 0
    waiting_by_rank: dict = dataclasses.field(default_factory=dict)
    not_served_by_rank: dict = dataclasses.field(default_factory=dict)
    starved: int = 0
    spill_over_shares: dict = dataclasses.field(default_factory=dict)
    requests_by_locality: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gauges:
    """Values of a daemon at the time of a scrape.

    Attributes:
      revision: configuration revision that is applied.
      ready: whether callers may be sent to the daemon.
      members: dict from member state to number of daemons.
      services: tuple of ServiceGauges.
      unanswered_requests: requests of callers without a response yet.
      events: dict from the name of a log event to its count since the start.
      dropped: log lines that were not written since the start.
      store_era: era of the store to which the revision belongs.
      store_copy_age: seconds for which the copy of the store may be
        outdated.
      servers_reachable: false while no backend server can be reached.
      tenants: tenants of the configuration in force.
      connections_opened: connections to backend servers that were opened since
        the start.
      connections_exhausted: those of them that were closed since they had
        carried too many requests that may be sent again.
      quota_tokens: dict from what became of tokens that this node granted as
        the hub of its region to their number.
      quota_near_limit: tenants that have used most of the region's quota.
    """

    revision: int
    ready: bool
    members: dict
    services: tuple
    unanswered_requests: int
    events: dict = dataclasses.field(default_factory=dict)
    dropped: int = 0
    store_era: int = 0
    store_copy_age: float = 0.0
    servers_reachable: bool = True
    tenants: int = 0
    connections_opened: int = 0
    connections_exhausted: int = 0
    quota_tokens: dict = dataclasses.field(default_factory=dict)
    quota_near_limit: int = 0


class _Collector(registry.Collector):
    def __init__(self, *, metrics, gauges):
        self._metrics = metrics
        self._gauges = gauges

    def collect(self):
        yield from _collect_gauges(self._gauges)
        yield _collect_requests(self._metrics.counts)
        yield from _collect_latencies(self._metrics)


def expose(*, metrics, gauges):
    """Return the metrics in the Prometheus text format, as bytes.

    Yields to other greenlets between two series.

    Args:
      metrics: a Metrics.
      gauges: a Gauges.
    """
    own = prometheus_client.CollectorRegistry()
    own.register(_Collector(metrics=metrics, gauges=gauges))
    return prometheus_client.generate_latest(own)


def _collect_gauges(gauges):
    for name, text, value in (
        ("revision", "Configuration revision in force", gauges.revision),
        ("store_era", "Era of the store", gauges.store_era),
        (
            "store_copy_age_seconds",
            "Time for which the copy of the store may be outdated",
            gauges.store_copy_age,
        ),
        ("ready", "1 if callers may be sent here", int(gauges.ready)),
        (
            "servers_reachable",
            "0 while no backend server can be reached",
            int(gauges.servers_reachable),
        ),
        ("tenants", "Tenants of the configuration in force", gauges.tenants),
        (
            "requests_unanswered",
            "Requests without answer",
            gauges.unanswered_requests,
        ),
    ):
        yield prometheus_core.GaugeMetricFamily(
            f"wigeonrouter_{name}", text, value=value
        )
    members = prometheus_core.GaugeMetricFamily(
        "wigeonrouter_members", "Known daemons", labels=("state",)
    )
    for state, count in sorted(gauges.members.items()):
        members.add_metric((state,), count)
    yield members
    yield from _collect_services(gauges.services)
    yield from _collect_connections(gauges)
    yield from _collect_quotas(gauges)
    yield from _collect_events(gauges)


def _collect_services(services):
    for name, text, value_of in (
        (
            "queue_length",
            "Waiting requests",
            lambda gauges: gauges.queue_length,
        ),
        (
            "in_flight",
            "Requests at backend servers",
            lambda gauges: gauges.in_flight,
        ),
        (
            "limited_servers",
            "Backend servers that name a rate limit, or are cold with one",
            lambda gauges: gauges.limited_servers,
        ),
        (
            "cold_servers",
            "Backend servers in their slow start",
            lambda gauges: gauges.cold_servers,
        ),
        (
            "evacuated_failure_domains",
            "Evacuated failure domains that have backend servers",
            lambda gauges: gauges.evacuated_domains,
        ),
        (
            "starved_ranks",
            "Pairs of rank and tenant that are served too rarely",
            lambda gauges: gauges.starved,
        ),
    ):
        family = prometheus_core.GaugeMetricFamily(
            f"wigeonrouter_{name}", text, labels=("service",)
        )
        for gauges in services:
            family.add_metric((gauges.service,), value_of(gauges))
        yield family
    excluded = prometheus_core.GaugeMetricFamily(
        "wigeonrouter_excluded_servers",
        "Backend servers that get no request at present",
        labels=("service", "reason"),
    )
    for gauges in services:
        for reason, count in sorted(gauges.excluded_servers.items()):
            excluded.add_metric((gauges.service, reason), count)
    yield excluded
    yield from _collect_ranks(services)
    yield from _collect_localities(services)


def _collect_ranks(services):
    labels = ("service", "tenant_priority", "priority")
    waiting = prometheus_core.GaugeMetricFamily(
        "wigeonrouter_waiting", "Waiting requests by rank", labels=labels
    )
    not_served = prometheus_core.CounterMetricFamily(
        "wigeonrouter_not_served",
        "Requests that got no backend server, by rank",
        labels=labels,
    )
    for gauges in services:
        for family, counts in (
            (waiting, gauges.waiting_by_rank),
            (not_served, gauges.not_served_by_rank),
        ):
            for rank, count in sorted(counts.items()):
                family.add_metric((gauges.service, *map(str, rank)), count)
    yield waiting
    yield not_served


def _collect_localities(services):
    labels = ("service", "locality")
    shares = prometheus_core.GaugeMetricFamily(
        "wigeonrouter_spill_over_share",
        "Share of the requests that may leave for a locality",
        labels=labels,
    )
    sent = prometheus_core.CounterMetricFamily(
        "wigeonrouter_requests_sent",
        "Requests sent to backend servers by locality",
        labels=labels,
    )
    for gauges in services:
        for locality, share in sorted(gauges.spill_over_shares.items()):
            shares.add_metric((gauges.service, locality), share)
        for locality, count in sorted(gauges.requests_by_locality.items()):
            sent.add_metric((gauges.service, locality), count)
    yield shares
    yield sent


def _collect_connections(gauges):
    for name, text, value in (
        (
            "connections_opened",
            "Connections to backend servers that were opened",
            gauges.connections_opened,
        ),
        (
            "connections_exhausted",
            "Connections that were closed since their request IDs are bounded",
            gauges.connections_exhausted,
        ),
    ):
        yield prometheus_core.CounterMetricFamily(
            f"wigeonrouter_server_{name}", text, value=value
        )


def _collect_quotas(gauges):
    tokens = prometheus_core.CounterMetricFamily(
        "wigeonrouter_quota_tokens",
        "Quota tokens of the region's nodes, at its hub",
        labels=("result",),
    )
    for result, count in sorted(gauges.quota_tokens.items()):
        tokens.add_metric((result,), count)
    yield tokens
    yield prometheus_core.GaugeMetricFamily(
        "wigeonrouter_quota_tenants_near_limit",
        "Tenants that have used most of the region's quota, at its hub",
        value=gauges.quota_near_limit,
    )


def _collect_events(gauges):
    events = prometheus_core.CounterMetricFamily(
        "wigeonrouter_events",
        "Log events, written or not",
        labels=("event",),
    )
    for name, count in sorted(gauges.events.items()):
        events.add_metric((name,), count)
    yield events
    yield prometheus_core.CounterMetricFamily(
        "wigeonrouter_log_lines_dropped",
        "Log lines that were not written",
        value=gauges.dropped,
    )


def _collect_requests(counts):
    family = prometheus_core.CounterMetricFamily(
        "wigeonrouter_requests",
        "Answered requests",
        labels=(*_SERIES_LABELS, "outcome", "problem"),
    )
    for labels, count in sorted(counts.items()):
        family.add_metric(labels, count)
    return family


def _collect_latencies(metrics):
    window = prometheus_core.GaugeMetricFamily(
        "wigeonrouter_latency_window_seconds",
        "Latency quantiles of the last minute",
        labels=(*_SERIES_LABELS, "quantile"),
    )
    total = prometheus_core.SummaryMetricFamily(
        "wigeonrouter_latency_seconds",
        "Latency since the start",
        labels=_SERIES_LABELS,
    )
    for key in metrics.keys():
        _, quantiles = metrics.quantiles(key)
        for percent, seconds in quantiles.items():
            window.add_metric((*key, f"{percent / 100:g}"), seconds)
        count, seconds = metrics.total(key)
        total.add_metric(key, count_value=count, sum_value=seconds)
        # A series takes 0.4 ms; yields so that requests are not delayed.
        gevent.sleep(0)
    yield window
    yield total


def count_states(members):
    """Return a dict from state to number of members.

    Args:
      members: an iterable of core.Member.
    """
    return dict(collections.Counter(member.state.value for member in members))
