"""Keys and values in the store with which regions share quotas.

Nodes of earlier builds ignore these keys. A value that cannot be read counts
as absent, so that all regions have equal shares.
"""

import json

from wigeonrouter import tenancy
from wigeonrouter import topology

_PREFIX = "wigeonrouter/quota/"
SHARES_KEY = f"{_PREFIX}shares"
# Each region writes what it lacks under this prefix.
DEMAND_PREFIX = f"{_PREFIX}demand/"
# The levels of each region's grant bounds are under this prefix.
LEVELS_PREFIX = f"{_PREFIX}levels/"


def encode_shares(parts, regions):
    """Return the value of the shares, a list of parts for each tenant."""
    return _encode(
        {
            "regions": list(regions),
            "tenants": {
                tenant: [shares.get(region, 0) for region in regions]
                for tenant, shares in parts.items()
            },
        }
    )


def decode_shares(item):
    """Return the topology.QuotaSharesWritten of a store.Item."""
    try:
        document = json.loads(item.value or b"{}")
        regions = document.get("regions", [])
        parts = {
            tenant: _read_parts(regions, counts)
            for tenant, counts in document.get("tenants", {}).items()
        }
    except (ValueError, TypeError, AttributeError):
        parts = {}
    return topology.QuotaSharesWritten(parts=parts, revision=item.version)


def encode_demand(missing):
    """Return the value of a region's demand."""
    return _encode(missing)


def decode_demand(item):
    """Return the topology.QuotaDemandWritten of a store.Item."""
    try:
        missing = {
            tenant: _read_count(count)
            for tenant, count in json.loads(item.value or b"{}").items()
        }
    except (ValueError, TypeError, AttributeError):
        missing = {}
    return topology.QuotaDemandWritten(
        region=item.key.removeprefix(DEMAND_PREFIX),
        missing=missing,
        revision=item.version,
    )


def encode_levels(stored):
    """Return the value of a region's tenancy.StoredLevels."""
    return _encode(
        {
            "ledger": stored.ledger,
            "general": stored.general,
            "tenants": stored.levels,
        }
    )


def decode_levels(item):
    """Return the topology.QuotaLevelsWritten of a store.Item.

    A value that cannot be read stands for grants without a bound.
    """
    region = item.key.removeprefix(LEVELS_PREFIX)
    try:
        ledger, general, levels = _read_levels(item.value)
    except (ValueError, TypeError, AttributeError, KeyError):
        ledger, general, levels = 0, tenancy.UNLIMITED_LEVEL, {}
    return topology.QuotaLevelsWritten(
        region=region,
        ledger=ledger,
        general=general,
        levels=levels,
        revision=item.version,
    )


def _read_levels(value):
    """Return the ledger, the general level and the tenants' levels."""
    if value is None:
        return 0, 0, {}
    document = json.loads(value)
    levels = {
        tenant: _read_count(level)
        for tenant, level in document["tenants"].items()
    }
    ledger = _read_count(document["ledger"])
    return ledger, _read_count(document["general"]), levels


def _read_parts(regions, counts):
    parts = dict(
        zip(regions, [_read_count(count) for count in counts], strict=True)
    )
    if sum(parts.values()) > tenancy.PARTS:
        raise ValueError(f"{counts} are more than {tenancy.PARTS} parts")
    return parts


def _read_count(count):
    if not isinstance(count, int) or count < 0:
        raise ValueError(f"{count!r} is no count")
    return count


def _encode(document):
    return json.dumps(document, separators=(",", ":")).encode()
