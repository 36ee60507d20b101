"""Decodes what operators and backend servers wrote into the store."""

import json

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.platform import _fields

CONFIGURATION_KEY = "op/config"
SERVER_PREFIX = "servers/"
# Nodes register below this prefix, as REGION/HOST.
NODE_PREFIX = "wigeonrouter/nodes/"
# How long callers usually wait, in ms, below this prefix, by route.
CALLER_TIMEOUT_PREFIX = "wigeonrouter/waits/"


def decode_configuration(value):
    """Decode the operator's configuration.

    Args:
      value: bytes.
    Returns:
      topology.Configuration.
    Raises:
      FieldError: the value is not a valid configuration.
    """
    document = _decode_object(value)
    routes = tuple(
        _read_route(name, route)
        for name, route in _fields.table(document, "routes").items()
    )
    services = {
        name: _read_service(name, service)
        for name, service in _fields.table(document, "services").items()
    }
    for route in routes:
        for share in route.shares:
            if share.service not in services:
                raise _fields.FieldError(
                    f"routes.{route.name}: unknown service {share.service}"
                )
    return topology.Configuration(
        version=_read_version(document),
        routes=routes,
        services=services,
        limits=_read_limits(document.get("limits")),
    )


def decode_registration(instance, value, regions):
    """Decode a backend server's registration.

    Args:
      instance: the part of the key after SERVER_PREFIX.
      value: bytes.
      regions: dict from failure domain to region.
    Returns:
      topology.Registration.
    Raises:
      FieldError: the value names no backend server that may be used.
    """
    document = _decode_object(value)
    # `info` holds what stays the same, `status` what changes while it runs.
    info = _fields.table(document, "info")
    status = _fields.table(document, "status")
    domain = _fields.text(info, "zone")
    state = _fields.text(status, "state")
    try:
        parsed_state = topology.RegistrationState(state)
    except ValueError as error:
        raise _fields.FieldError(f"state: {error}") from error
    warm_up = 0.0
    if "warmup_left" in status:
        warm_up = _fields.seconds(status, "warmup_left")
    born = 0
    if "born" in document:
        born = _fields.number(document, "born")
    return topology.Registration(
        instance=instance,
        service=_fields.text(info, "service"),
        address=_fields.address(_fields.text(document, "address")),
        place=core.Place(
            region=regions.get(domain, domain), failure_domain=domain
        ),
        slots=_fields.number(info, "slots", least=1),
        state=parsed_state,
        warm_up=warm_up,
        born=born,
        sequence=_fields.number(status, "seq"),
    )


def _decode_object(value):
    try:
        document = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise _fields.FieldError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise _fields.FieldError("not a table")
    return document


def _read_version(document):
    found = _fields.text(document, "version")
    try:
        return int(found, 16)
    except ValueError as error:
        raise _fields.FieldError(f"version: {error}") from error


def _read_route(name, route):
    if not isinstance(route, dict):
        raise _fields.FieldError(f"routes.{name}: not a table")
    kind = _fields.text(route, "kind")
    prefix = _fields.text(route, "prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise _fields.FieldError(f"routes.{name}: prefix without slashes")
    return topology.Route(
        name=name,
        host=_fields.text(route, "host").lower(),
        prefix=prefix,
        shares=_read_shares(name, route),
        # Any kind that is not known to be repeatable runs at most once.
        idempotent=kind == "safe",
        timeout=_fields.seconds(route, "timeout"),
        target_latency=_fields.seconds(route, "target_latency"),
        priority=_fields.number(route, "priority"),
        max_attempts=_fields.number(route, "max_attempts", least=1),
    )


def _read_shares(name, route):
    if "traffic_split" not in route:
        return (
            topology.Share(service=_fields.text(route, "service"), weight=1),
        )
    rows = route["traffic_split"]
    if not isinstance(rows, list):
        raise _fields.FieldError(f"routes.{name}: split is no list")
    shares = tuple(
        topology.Share(
            service=_fields.text(row, "service"),
            weight=_fields.number(row, "weight"),
        )
        for row in rows
        if isinstance(row, dict)
    )
    if sum(share.weight for share in shares) < 1:
        raise _fields.FieldError(f"routes.{name}: no weight")
    return shares


def _read_service(name, service):
    if not isinstance(service, dict):
        raise _fields.FieldError(f"services.{name}: not a table")
    return topology.ServiceSettings(
        name=name,
        health_path=_fields.text(service, "health_path"),
        max_connections=_fields.number(service, "max_conns", least=1),
    )


def _read_limits(limits):
    if not isinstance(limits, dict):
        return topology.CallerLimits()
    return topology.CallerLimits(
        max_header_bytes=_fields.number(limits, "max_header_bytes"),
        max_body_bytes=_fields.number(limits, "max_body_bytes"),
        header_timeout=_fields.seconds(limits, "header_timeout"),
        idle_timeout=_fields.seconds(limits, "idle_timeout"),
    )
