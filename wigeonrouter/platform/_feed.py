"""The node's interface to the store: calls, and decoding of the items."""

import re

from wigeonrouter import placement
from wigeonrouter import store
from wigeonrouter import topology
from wigeonrouter.platform import _fields
from wigeonrouter.platform import _quota_values
from wigeonrouter.platform import _store_values

# A single listing and a single watch cover the configuration, the
# registrations and the nodes' own keys.
_ALL_KEYS = ""
# What a node of this build registers. Those of earlier builds write {}, and
# read the key only.
_REGISTERED = b'{"checks_keys":true}'
_CRASHED = b"{}"
_TIMEOUT_MS = re.compile(rb"[1-9][0-9]{0,8}")


class StoreFeed:
    """Accesses the store and decodes its items into topology's records.

    Methods that call the store raise store.StoreError if the call fails.

    Args:
      client: StoreClient.
      regions: dict from failure domain to region.
    """

    def __init__(self, *, client, regions):
        self._client = client
        self._regions = regions

    def reload(self, regions):
        """Apply a changed dict from failure domain to region."""
        self._regions = regions

    def list(self, *, stale=False):
        """Return the store.Listing of all keys.

        Args:
          stale: accept a listing that may be seconds old.
        """
        return self._client.list(_ALL_KEYS, stale=stale)

    def watch(self, *, revision, wait):
        """Return the store.Events after a revision of the present era.

        Args:
          revision: revision of the store.
          wait: maximum wait for a change, seconds.
        Raises:
          store.HistoryLost: all items have to be listed again.
        """
        return self._client.watch(_ALL_KEYS, revision=revision, wait=wait)

    def check(self):
        """Check that this node reaches the store; raises StoreError if not."""
        self._client.check(_store_values.ABSENT_PREFIX)

    def register(self, *, region, host):
        """Register this node so that other nodes find it.

        It replaces what an earlier build has registered on this host.
        """
        self._client.write(
            f"{_store_values.NODE_PREFIX}{region}/{host}", _REGISTERED
        )

    def write_caller_timeout(self, *, route, seconds):
        """Store the usual timeout of a route's callers, in seconds."""
        self._client.write(
            f"{_store_values.CALLER_TIMEOUT_PREFIX}{route}",
            b"%d" % round(seconds * 1000),
        )

    def write_crashes(self, crashes):
        """Store some core.Crashes for as long as they count."""
        self._client.write_leased(
            {
                _store_values.encode_crash_key(crash): _CRASHED
                for crash in crashes
            },
            ttl=placement.CRASH_RETENTION_S,
        )

    def remove_crashes(self, crashes):
        """Remove some core.Crashes from the store."""
        self._client.remove(
            [_store_values.encode_crash_key(crash) for crash in crashes]
        )

    def write_quota_demand(self, *, region, missing):
        """Store which quotas a region lacks, a dict from tenant to count."""
        self._client.write(
            _quota_values.DEMAND_PREFIX + region,
            _quota_values.encode_demand(missing),
        )

    def write_quota_shares(self, *, parts, regions, revision):
        """Store the regions' shares, unless they have changed.

        Args:
          parts: dict from tenant to a dict from region to its parts.
          regions: tuple of all regions.
          revision: revision of the entry that is replaced, 0 without one.
        Returns:
          Whether they were written.
        """
        written = self._client.replace(
            _quota_values.SHARES_KEY,
            _quota_values.encode_shares(parts, regions),
            revision=revision,
        )
        return written is not None

    def write_quota_levels(self, *, region, levels):
        """Store the levels of a region's grant bounds.

        Args:
          levels: tenancy.StoredLevels; its revision is that of the entry that
            is replaced, 0 without one.
        Returns:
          The revision of the entry, None if it was not written since it has
          changed.
        """
        return self._client.replace(
            _quota_values.LEVELS_PREFIX + region,
            _quota_values.encode_levels(levels),
            revision=levels.revision,
        )

    def decode(self, items, *, scope):
        """Decode store items into a topology.StoreContent.

        Args:
          items: store.Items.
          scope: topology.ContentScope.
        """
        records = [self._decode_item(item) for item in items]
        return topology.StoreContent(
            records=tuple(r for r in records if r is not None),
            scope=scope,
        )

    def decode_configuration(self, value):
        """Decode a configuration as the operator wrote it.

        Returns:
          topology.ConfigurationWritten or ConfigurationRejected.
        """
        return _decode_configuration(
            store.Item(
                key=_store_values.CONFIGURATION_KEY, value=value, version=0
            )
        )

    def close(self):
        """Close the idle connections to the store."""
        self._client.close()

    def _decode_item(self, item):
        if item.key == _store_values.CONFIGURATION_KEY:
            return _decode_configuration(item)
        if item.key.startswith(_store_values.SERVER_PREFIX):
            return self._decode_registration(item)
        if item.key.startswith(_store_values.NODE_PREFIX):
            return _decode_node(item)
        if item.key.startswith(_store_values.EVACUATION_PREFIX):
            return _decode_evacuation(item)
        if item.key.startswith(_store_values.CALLER_TIMEOUT_PREFIX):
            return _decode_caller_timeout(item)
        if item.key.startswith(_store_values.CRASH_PREFIX):
            return _decode_crash(item)
        if item.key == _quota_values.SHARES_KEY:
            return _quota_values.decode_shares(item)
        if item.key.startswith(_quota_values.DEMAND_PREFIX):
            return _quota_values.decode_demand(item)
        if item.key.startswith(_quota_values.LEVELS_PREFIX):
            return _quota_values.decode_levels(item)
        return None

    def _decode_registration(self, item):
        instance = item.key.removeprefix(_store_values.SERVER_PREFIX)
        reason = ""
        if item.value is not None:
            try:
                return topology.RegistrationWritten(
                    registration=_store_values.decode_registration(
                        instance, item.value, self._regions
                    ),
                    revision=item.version,
                )
            except _fields.FieldError as error:
                reason = str(error)
        return topology.RegistrationRemoved(
            instance=instance, revision=item.version, reason=reason
        )


def _decode_configuration(item):
    if item.value is None:
        return topology.ConfigurationRejected(
            reason="removed", revision=item.version
        )
    try:
        configuration = _store_values.decode_configuration(item.value)
    except _fields.FieldError as error:
        return topology.ConfigurationRejected(
            reason=str(error), revision=item.version
        )
    return topology.ConfigurationWritten(
        configuration=configuration,
        revision=item.version,
        encoded=item.value,
    )


def _decode_node(item):
    region, _, host = item.key.removeprefix(
        _store_values.NODE_PREFIX
    ).partition("/")
    if not _fields.is_ipv4(host):
        return None
    if item.value is None:
        return topology.NodeRemoved(region=region, host=host)
    return topology.NodeWritten(
        region=region, host=host, checks_keys=item.value == _REGISTERED
    )


def _decode_evacuation(item):
    kind = topology.EvacuationWritten
    if item.value is None:
        kind = topology.EvacuationRemoved
    return kind(
        failure_domain=item.key.removeprefix(_store_values.EVACUATION_PREFIX),
        revision=item.version,
    )


def _decode_caller_timeout(item):
    if item.value is None or not _TIMEOUT_MS.fullmatch(item.value):
        return None
    return topology.CallerTimeoutLearned(
        route=item.key.removeprefix(_store_values.CALLER_TIMEOUT_PREFIX),
        seconds=int(item.value) / 1000,
    )


def _decode_crash(item):
    crash = _store_values.decode_crash_key(item.key)
    if crash is None:
        return None
    return topology.CrashStored(crash=crash, removed=item.value is None)
