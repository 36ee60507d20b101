"""Keys and values in the store that operators and backend servers write."""

import json
import re

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.platform import _fields

CONFIGURATION_KEY = "op/config"
# The operator evacuates a failure domain by a key under this prefix.
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
# Nodes register under this prefix, with keys REGION/HOST.
NODE_PREFIX = "wigeonrouter/nodes/"
# The callers' usual timeout in ms, by route, is stored under this prefix.
CALLER_TIMEOUT_PREFIX = "wigeonrouter/waits/"
# The ends of servers under requests are stored under this prefix, with keys
# DIGEST/NAME.
CRASH_PREFIX = "wigeonrouter/crashes/"
# No key has this prefix, so that a check of the store gets a short response.
ABSENT_PREFIX = "wigeonrouter/none/"
# An instance ID is sent in a header.
_INSTANCE = re.compile(r"[!-~]{1,200}")
_VERSION = re.compile(r"[0-9a-fA-F]{1,16}")
# A tenant's name is sent in a header, so it is visible ASCII, with spaces
# inside only.
_TENANT_NAME = re.compile(r"[!-~](?:[ -~]{0,198}[!-~])?")
_MAX_SLOTS = 1 << 16
_CRASH = re.compile(r"([0-9a-f]{32})/([0-9a-f]{16}\.[0-9]{1,9})")


def decode_configuration(value):
    """Decode the operator's configuration.

    Args:
      value: bytes.
    Returns:
      topology.Configuration.
    Raises:
      FieldError: the configuration is invalid.
    """
    document = _decode_object(value)
    routes = tuple(
        _read_route(name, route)
        for name, route in _fields.get_object(document, "routes").items()
    )
    services = {
        name: _read_service(name, service)
        for name, service in _fields.get_object(document, "services").items()
    }
    for route in routes:
        for share in route.shares:
            if share.service not in services:
                raise _fields.FieldError(
                    f"routes.{route.name}: unknown service {share.service}"
                )
    _check_distinct(routes)
    return topology.Configuration(
        version=_read_version(document),
        routes=routes,
        services=services,
        limits=_read_limits(document.get("limits")),
        authentication=_read_authentication(document),
        tenants=_read_tenants(document),
    )


def decode_registration(instance, value, regions):
    """Decode a backend server's registration.

    Args:
      instance: instance ID, the part of the key after SERVER_PREFIX.
      value: bytes.
      regions: dict from failure domain to region.
    Returns:
      topology.Registration.
    Raises:
      FieldError: the registration is invalid.
    """
    if not _INSTANCE.fullmatch(instance):
        raise _fields.FieldError(f"invalid instance ID {instance!r}")
    document = _decode_object(value)
    # `info` is constant while the server runs, `status` changes.
    info = _fields.get_object(document, "info")
    status = _fields.get_object(document, "status")
    domain = _fields.get_string(info, "zone")
    state = _fields.get_string(status, "state")
    try:
        parsed_state = topology.RegistrationState(state)
    except ValueError as error:
        raise _fields.FieldError(f"state: {error}") from error
    slow_start = 0.0
    if "warmup_left" in status:
        slow_start = _fields.get_duration(status, "warmup_left")
    started_ms = 0
    if "born" in document:
        started_ms = _fields.get_integer(document, "born")
    return topology.Registration(
        instance=instance,
        service=_fields.get_string(info, "service"),
        address=_fields.to_address(_fields.get_string(document, "address")),
        place=core.Place(
            region=regions.get(domain, domain), failure_domain=domain
        ),
        slots=_fields.get_integer(
            info, "slots", minimum=1, maximum=_MAX_SLOTS
        ),
        state=parsed_state,
        slow_start=slow_start,
        started_ms=started_ms,
        sequence=_fields.get_integer(status, "seq"),
    )


def encode_crash_key(crash):
    """Return the key of a core.Crash."""
    return f"{CRASH_PREFIX}{crash.digest}/{crash.name}"


def decode_crash_key(key):
    """Return the core.Crash of a key, None if the key is invalid."""
    match = _CRASH.fullmatch(key.removeprefix(CRASH_PREFIX))
    if match is None:
        return None
    return core.Crash(digest=match[1], name=match[2])


def _decode_object(value):
    try:
        document = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise _fields.FieldError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise _fields.FieldError("not an object")
    return document


def _read_version(document):
    text = _fields.get_string(document, "version")
    if not _VERSION.fullmatch(text):
        raise _fields.FieldError("version: not a hexadecimal number")
    return int(text, 16)


def _check_distinct(routes):
    """Raise FieldError if two routes have the same host and prefix."""
    names = {}
    for route in routes:
        first = names.setdefault((route.host, route.prefix), route.name)
        if first != route.name:
            raise _fields.FieldError(
                f"routes.{route.name}: same host and prefix as {first}"
            )


def _read_route(name, route):
    if not isinstance(route, dict):
        raise _fields.FieldError(f"routes.{name}: not an object")
    kind = _fields.get_string(route, "kind")
    prefix = _fields.get_string(route, "prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise _fields.FieldError(
            f"routes.{name}: prefix does not start and end with a slash"
        )
    return topology.Route(
        name=name,
        host=_fields.get_string(route, "host").lower(),
        prefix=prefix,
        shares=_read_shares(name, route),
        # Requests of an unknown kind are treated as non-idempotent.
        idempotent=kind == "safe",
        timeout=_fields.get_duration(route, "timeout"),
        target_latency=_fields.get_duration(route, "target_latency"),
        priority=_fields.get_integer(route, "priority"),
        max_attempts=_fields.get_integer(route, "max_attempts", minimum=1),
        public=route.get("public") is True,
        home_regions=_read_regions(f"routes.{name}", route),
    )


def _read_regions(path, document):
    """Return the frozenset of regions in `allowed_regions`."""
    regions = document.get("allowed_regions") or []
    if not isinstance(regions, list) or not all(
        isinstance(region, str) for region in regions
    ):
        raise _fields.FieldError(f"{path}: allowed_regions is not a list")
    return frozenset(regions)


def _read_authentication(document):
    """Return the topology.Authentication; a table without rows needs keys."""
    if document.get("tenants") is None:
        return topology.Authentication.OPEN
    return topology.Authentication.KEYED


def _read_tenants(document):
    """Return a dict from name to topology.Tenant."""
    if document.get("tenants") is None:
        return {}
    tenants = {
        name: _read_tenant(name, tenant)
        for name, tenant in _fields.get_object(document, "tenants").items()
    }
    _check_holders(tenants.values())
    return tenants


def _check_holders(tenants):
    """Raise FieldError if two tenants hold the same key.

    The error names the tenants, since it is logged, and not the key.
    """
    holders = {}
    for tenant in tenants:
        for key in tenant.api_keys:
            holder = holders.setdefault(key, tenant.name)
            if holder != tenant.name:
                raise _fields.FieldError(
                    f"tenants.{tenant.name}: holds a key of {holder}"
                )


def _read_tenant(name, tenant):
    if not _TENANT_NAME.fullmatch(name):
        raise _fields.FieldError(f"tenants: name {name!r} fits no header")
    if not isinstance(tenant, dict):
        raise _fields.FieldError(f"tenants.{name}: not an object")
    keys = tenant.get("api_keys") or []
    if not isinstance(keys, list) or not all(
        isinstance(key, str) and key for key in keys
    ):
        raise _fields.FieldError(f"tenants.{name}: api_keys is not a list")
    return topology.Tenant(
        name=name,
        api_keys=tuple(keys),
        priority=int(_fields.get_number(tenant, "priority")),
        rate=_fields.get_number(tenant, "rate_per_s"),
        burst=_fields.get_number(tenant, "burst"),
        home_regions=_read_regions(f"tenants.{name}", tenant),
    )


def _read_shares(name, route):
    if "traffic_split" not in route:
        return (
            topology.TrafficShare(
                service=_fields.get_string(route, "service"), weight=1
            ),
        )
    rows = route["traffic_split"]
    if not isinstance(rows, list):
        raise _fields.FieldError(f"routes.{name}: traffic_split is not a list")
    shares = tuple(
        topology.TrafficShare(
            service=_fields.get_string(row, "service"),
            weight=_fields.get_integer(row, "weight"),
        )
        for row in rows
        if isinstance(row, dict)
    )
    if sum(share.weight for share in shares) < 1:
        raise _fields.FieldError(
            f"routes.{name}: sum of the traffic_split weights is below 1"
        )
    return shares


def _read_service(name, service):
    if not isinstance(service, dict):
        raise _fields.FieldError(f"services.{name}: not an object")
    return topology.ServiceSettings(
        name=name,
        health_path=_fields.get_string(service, "health_path"),
        max_connections=_fields.get_integer(service, "max_conns", minimum=1),
        slow_start=(
            _fields.get_duration(service, "warmup")
            if service.get("warmup")
            else 0.0
        ),
        slow_start_rate=_fields.get_number(service, "warmup_per_s"),
    )


def _read_limits(limits):
    if not isinstance(limits, dict):
        return topology.CallerLimits()
    return topology.CallerLimits(
        max_header_bytes=_fields.get_integer(limits, "max_header_bytes"),
        max_body_bytes=_fields.get_integer(limits, "max_body_bytes"),
        header_timeout=_fields.get_duration(limits, "header_timeout"),
        idle_timeout=_fields.get_duration(limits, "idle_timeout"),
    )
