"""Reads the store and decodes what lies in it."""

from wigeonrouter import topology
from wigeonrouter.platform import _entries
from wigeonrouter.platform import _fields

# One listing and one watch cover the configuration, the registrations and
# the keys of the project.
_ALL_KEYS = ""


class StoreFeed:
    """What the store holds, as the product's records."""

    def __init__(self, *, client, regions):
        self._client = client
        self._regions = regions

    def list(self):
        """Return the topology.StoreContent of all keys.

        Raises:
          store.StoreError: there was no usable answer.
        """
        listing = self._client.list(_ALL_KEYS)
        return self._decode(listing.items, listing.revision)

    def watch(self, *, revision, wait):
        """Return the topology.StoreContent of changes after a revision.

        Raises:
          store.HistoryLost: everything has to be listed again.
          store.StoreError: there was no usable answer.
        """
        events = self._client.watch(_ALL_KEYS, revision=revision, wait=wait)
        return self._decode(events.changes, events.revision)

    def close(self):
        """Close the connection to the store."""
        self._client.close()

    def _decode(self, items, revision):
        records = [self._decode_item(item) for item in items]
        return topology.StoreContent(
            records=tuple(r for r in records if r is not None),
            revision=revision,
        )

    def _decode_item(self, item):
        if item.key == _entries.CONFIGURATION_KEY:
            return _decode_configuration(item)
        if item.key.startswith(_entries.SERVER_PREFIX):
            return self._decode_registration(item)
        return None

    def _decode_registration(self, item):
        instance = item.key.removeprefix(_entries.SERVER_PREFIX)
        reason = ""
        if item.value is not None:
            try:
                return topology.RegistrationWritten(
                    registration=_entries.decode_registration(
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
        configuration = _entries.decode_configuration(item.value)
    except _fields.FieldError as error:
        return topology.ConfigurationRejected(
            reason=str(error), revision=item.version
        )
    return topology.ConfigurationWritten(
        configuration=configuration, revision=item.version
    )
