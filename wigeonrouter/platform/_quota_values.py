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
            "starts": stored.starts,
            "general": stored.general,
            "tenants": stored.levels,
        }
    )


def decode_levels(item):
    """Return the topology.QuotaLevelsWritten of a store.Item.

    A value that cannot be read stands for grants without a bound.
    """
    region = item.key.removeprefix(LEVELS_PREFIX)
    if item.value is None:
        fields = {"ledger": 0, "starts": 0, "general": 0, "levels": {}}
    else:
        fields = _read_levels(item.value)
    return topology.QuotaLevelsWritten(
        region=region, revision=item.version, **fields
    )


def _read_levels(value):
    """Return the fields of a topology.QuotaLevelsWritten."""
    try:
        document = json.loads(value)
        fields = {
            name: _read_count(document[name])
            for name in ("ledger", "starts", "general")
        }
        fields["levels"] = {
            tenant: _read_count(level)
            for tenant, level in document["tenants"].items()
        }
    except (ValueError, TypeError, AttributeError, KeyError):
        return {
            "ledger": 0,
            "starts": 0,
            "general": tenancy.UNLIMITED_LEVEL,
            "levels": {},
        }
    return fields


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
