"""Reads and writes the store, and decodes what lies in it."""

from wigeonrouter import topology
from wigeonrouter.platform import _fields
from wigeonrouter.platform import _store_values

# One listing and one watch cover the configuration, the registrations and
# the keys of the project.
_ALL_KEYS = ""
_REGISTERED = b"{}"


class StoreFeed:
    """The store, with its items as the product's records.

    Every method that calls the store raises store.StoreError where there
    was no usable answer.
    """

    def __init__(self, *, client, regions):
        self._client = client
        self._regions = regions

    def reload(self, regions):
        """Take over a changed dict from failure domain to region."""
        self._regions = regions

    def list(self, *, stale=False):
        """Return the store.Listing of all keys.

        Args:
          stale: accept what may be seconds old.
        """
        return self._client.list(_ALL_KEYS, stale=stale)

    def watch(self, *, revision, wait):
        """Return the store.Events after a revision.

        Raises:
          store.HistoryLost: everything has to be listed again.
        """
        return self._client.watch(_ALL_KEYS, revision=revision, wait=wait)

    def check(self):
        """Return normally where the store answers this node."""
        self._client.list(_store_values.NODE_PREFIX, stale=True)

    def register(self, *, region, host):
        """Make this node known to others of its region."""
        self._client.create(
            f"{_store_values.NODE_PREFIX}{region}/{host}", _REGISTERED
        )

    def write_caller_timeout(self, *, route, seconds):
        """Keep how long callers of a route usually wait."""
        self._client.write(
            f"{_store_values.CALLER_TIMEOUT_PREFIX}{route}",
            b"%d" % round(seconds * 1000),
        )

    def decode(self, items, *, whole):
        """Return the topology.StoreContent of store items."""
        records = [self._decode_item(item) for item in items]
        return topology.StoreContent(
            records=tuple(r for r in records if r is not None), whole=whole
        )

    def close(self):
        """Close the connections to the store."""
        self._client.close()

    def _decode_item(self, item):
        if item.key == _store_values.CONFIGURATION_KEY:
            return _decode_configuration(item)
        if item.key.startswith(_store_values.SERVER_PREFIX):
            return self._decode_registration(item)
        if item.key.startswith(_store_values.NODE_PREFIX):
            return _decode_node(item)
        if item.key.startswith(_store_values.CALLER_TIMEOUT_PREFIX):
            return _decode_caller_timeout(item)
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
        configuration=configuration, revision=item.version
    )


def _decode_node(item):
    region, _, host = item.key.removeprefix(
        _store_values.NODE_PREFIX
    ).partition("/")
    if not host:
        return None
    if item.value is None:
        return topology.NodeRemoved(region=region, host=host)
    return topology.NodeWritten(region=region, host=host)


def _decode_caller_timeout(item):
    if item.value is None or not item.value.isdigit():
        return None
    return topology.WaitLearned(
        route=item.key.removeprefix(_store_values.CALLER_TIMEOUT_PREFIX),
        seconds=int(item.value) / 1000,
    )
