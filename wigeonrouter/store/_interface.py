"""The interface to the platform's key-value store and VM list.

An adapter is a factory that is registered under a name. It takes an address
and a timeout, and returns an object that implements Store.
"""

import dataclasses
import typing


class StoreError(Exception):
    """A call to the store failed."""


class StoreUnavailable(StoreError):
    """The store was not reached or rejected the call; it had no effect."""


class StoreReplyLost(StoreError):
    """The reply was lost; the call may or may not have taken effect."""


class HistoryLost(StoreError):
    """The store no longer retains the changes since a requested revision."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """A key with its value and version.

    Each write changes the version; 0 stands for an absent key. The value may
    have secrets of the platform, and is not printed.
    """

    key: str
    value: bytes = dataclasses.field(repr=False)
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, order=True, slots=True)
class Position:
    """A point in the history of the store.

    A store that is restored from a copy gives out revisions again. Each
    restore begins a new era, and all of an era is later than all of the
    eras before it.

    Attributes:
      era: number of the era, 0 if the store does not name it.
      revision: revision within the era, 0 before the first one.
    """

    era: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Items, read at the given position of the store or at a later one."""

    items: tuple[Item, ...]
    position: Position


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Events:
    """Changes up to a position; the value of a deleted key is None."""

    changes: tuple[Item, ...]
    position: Position


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Vm:
    """A VM in the platform's VM list; the list lags behind the real state."""

    name: str
    role: str
    address: str
    region: str
    failure_domain: str
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmListing:
    """A version of the VM list."""

    version: int
    vms: tuple[Vm, ...]


class Store(typing.Protocol):
    """The operations that wigeonrouter needs from the platform.

    Each method but close may raise StoreUnavailable or StoreReplyLost. Times
    are in seconds.
    """

    def get(self, key):
        """Return the Item at a key, or None."""

    def compare_and_swap(self, *, key, expected_version, value, lease=0):
        """Write a value if the key still has the expected version.

        Args:
          key: the key.
          expected_version: version of the key, 0 if it has to be absent.
          value: bytes, or None to delete the key.
          lease: number of a lease whose expiry deletes the key, 0 for none.
        Returns:
          Whether the value was written.
        """

    def list(self, prefix, *, limit=0):
        """Return a tuple of the items with a key prefix.

        Args:
          prefix: the key prefix.
          limit: maximum number of items, 0 for no limit.
        """

    def watch(self, key, *, known_version, timeout):
        """Wait until a key's version differs from the known one.

        Returns:
          The Item after the change or the timeout, or None if the key is
          absent then.
        """

    def grant_lease(self, *, ttl):
        """Create a lease that expires ttl seconds after its last renewal.

        Returns:
          The number of the lease.
        """

    def renew_lease(self, lease):
        """Renew a lease and return whether it was still valid."""

    def list_vms(self, *, known_version=0):
        """Return the VmListing, or None if it still has the known version."""

    def close(self):
        """Close the connection."""


_ADAPTERS = {}


def adapter(name):
    """Return a decorator that registers a factory as a store adapter."""

    def register(factory):
        _ADAPTERS[name] = factory
        return factory

    return register


def open_store(*, name, address, timeout):
    """Return a Store made by the named adapter.

    Args:
      name: name of the adapter.
      address: core.Address of the store.
      timeout: seconds for connecting and for each reply.
    Raises:
      KeyError: no adapter is registered under the name.
    """
    return _ADAPTERS[name](address=address, timeout=timeout)


def adapter_names():
    """Return the tuple of registered adapter names, sorted."""
    return tuple(sorted(_ADAPTERS))
