"""Test helpers that act as the platform's operators, servers and callers.

They render settings files, configurations, registrations and requests from
the load balancer's records, and parse the responses that callers receive.
"""

import dataclasses
import json

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter.platform import _feed
from wigeonrouter.platform import _fields
from wigeonrouter.platform import _store_values

CONFIGURATION_KEY = _store_values.CONFIGURATION_KEY
# Statuses that promise that the request was not and will not be executed.
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
_NOT_FOUND = 404


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerResponse:
    """A response that a caller received.

    Attributes:
      instance: instance ID of the backend server that responded, or "".
      closes: whether the caller has to open a new connection.
    """

    status: int
    request_id: str
    instance: str
    body: bytes
    closes: bool

    @property
    def promises_not_executed(self):
        """Whether the status promises that the request is not executed."""
        return self.status in _NOT_EXECUTED_STATUSES

    @property
    def not_found(self):
        """Whether no route matched the request."""
        return self.status == _NOT_FOUND


def server_key(instance):
    """Return the store key of a backend server's registration."""
    return f"{_store_values.SERVER_PREFIX}{instance}"


def evacuation_key(domain):
    """Return the store key of the evacuation of a failure domain."""
    return f"{_store_values.EVACUATION_PREFIX}{domain}"


def make_feed(regions):
    """Return a StoreFeed without a store, which only decodes items."""
    return _feed.StoreFeed(client=None, regions=regions)


def render_registration(registration):
    """Return a topology.Registration as a JSON document."""
    return {
        "address": str(registration.address),
        "born": registration.started_ms,
        "info": {
            "service": registration.service,
            "version": "v1",
            "zone": registration.place.failure_domain,
            "slots": registration.slots,
        },
        "status": {
            "state": registration.state.value,
            "seq": registration.sequence,
            "warmup_left": _fields.format_duration(registration.slow_start),
        },
    }


def render_configuration(configuration):
    """Return a topology.Configuration as a JSON document."""
    return {
        "version": f"{configuration.version:08x}",
        "routes": {
            route.name: _render_route(route) for route in configuration.routes
        },
        "services": {
            service.name: _render_service(service)
            for service in configuration.services.values()
        },
        **_render_tenants(configuration),
        "limits": {
            "max_header_bytes": configuration.limits.max_header_bytes,
            "max_body_bytes": configuration.limits.max_body_bytes,
            "header_timeout": _fields.format_duration(
                configuration.limits.header_timeout
            ),
            "idle_timeout": _fields.format_duration(
                configuration.limits.idle_timeout
            ),
        },
    }


def _render_service(service):
    document = {
        "health_path": service.health_path,
        "max_conns": service.max_connections,
    }
    if service.slow_start > 0.0:
        document["warmup"] = _fields.format_duration(service.slow_start)
        document["warmup_per_s"] = service.slow_start_rate
    return document


def _render_tenants(configuration):
    if not configuration.keys_required:
        return {}
    return {
        "tenants": {
            tenant.name: {
                "api_keys": list(tenant.api_keys),
                "priority": tenant.priority,
                "rate_per_s": tenant.rate,
                "burst": tenant.burst,
                "allowed_regions": sorted(tenant.home_regions),
            }
            for tenant in configuration.tenants.values()
        }
    }


def _render_route(route):
    document = {
        "host": route.host,
        "prefix": route.prefix,
        "kind": "safe" if route.idempotent else "unsafe",
        "timeout": _fields.format_duration(route.timeout),
        "target_latency": _fields.format_duration(route.target_latency),
        "priority": route.priority,
        "max_attempts": route.max_attempts,
    }
    if route.public:
        document["public"] = True
    if len(route.shares) == 1:
        document["service"] = route.shares[0].service
    else:
        document["traffic_split"] = [
            {"service": share.service, "weight": share.weight}
            for share in route.shares
        ]
    return document


def render_settings(settings, *, bounds):
    """Return the contents of a settings file.

    Args:
      settings: topology.NodeSettings; its `bounds` are ignored.
      bounds: dict from the platform's name of a bound to its value.
    """
    values = {
        "node": settings.name,
        "ip": settings.host,
        "zone": settings.place.failure_domain,
        "region": settings.place.region,
        "listen.front": settings.caller_address,
        "listen.ready": settings.readiness_address,
        "listen.control": settings.control_address,
        "listen.directory": settings.directory_address,
        "internal_ports": ",".join(map(str, settings.peer_ports)),
        "seeds": ",".join(f"{host}:1" for host in settings.seeds),
        "limits.cpu_share": settings.capacity / 1000,
        "limits.cores": 1,
        "limits.memory_mb": settings.memory_bytes / 1_000_000,
        "heartbeat": _fields.format_duration(settings.heartbeat),
        "platform.address": settings.store_address,
        "bounds": ",".join(f"{k}={v}" for k, v in bounds.items()),
    }
    for domain, region in settings.regions.items():
        values[f"zones.{domain}"] = region
    return "".join(f"{name}={value}\n" for name, value in values.items())


def render_request(
    *, method, target, host, request_id, remaining, body=b"", header_lines=()
):
    """Return the bytes of a caller's request; `remaining` in seconds."""
    lines = (
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {round(remaining * 1000)}",
        f"Content-Length: {len(body)}",
        *header_lines,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def render_entry_query(*, host, place):
    """Return the bytes of an entry directory request."""
    query = f"name={host}&region={place.region}&zone={place.failure_domain}"
    return render_request(
        method="GET",
        target=f"/api/resolve?{query}",
        host="entry",
        request_id="",
        remaining=1.0,
    )


def read_response(receive, *, method, max_bytes=1 << 20):
    """Read a response and return it as a CallerResponse.

    Args:
      receive: function that returns the next bytes, b"" at the end.
      method: method of the request, bytes.
      max_bytes: maximum size of the response.
    Raises:
      http1.MalformedMessage: the response is malformed or incomplete.
    """
    reader = http1.ResponseReader(receive=receive, max_bytes=max_bytes)
    response = reader.read(method)
    stamp = response.header(b"server-stamp").decode()
    return CallerResponse(
        status=response.status,
        request_id=response.header(b"request-id").decode(),
        instance=stamp.removeprefix("stamp."),
        body=response.body,
        closes=not reader.reusable,
    )


def read_entries(response):
    """Return the entry addresses of a directory response and its TTL in s.

    Raises:
      ValueError: the response lists no entries.
    """
    document = json.loads(response.body)
    if "addresses" not in document:
        raise ValueError("no entries")
    addresses = tuple(map(core.parse_address, document["addresses"]))
    return addresses, _fields.parse_duration(document["ttl"])
