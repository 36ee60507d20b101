"""Tests of the copy of the store that followers keep."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from wigeonrouter import store
from wigeonrouter import topology
from wigeonrouter.node import _store_cache
from wigeonrouter.schema import node_pb2

CHANGES = topology.ContentScope.CHANGES
SERVER = "servers/i-1"
OTHER = "servers/i-2"


@pytest.fixture
def applied():
    """Return a list of what the cache has applied: (values, scope)."""
    return []


@pytest.fixture
def cache(applied):
    """Return an empty StoreCache."""
    return _make_cache(
        lambda items, scope: applied.append(
            ({item.key: item.value for item in items}, scope)
        )
    )


def _make_cache(apply=lambda items, scope: None):
    return _store_cache.StoreCache(apply=apply)


def _item(key, version, value=b"{}"):
    return store.Item(key=key, value=value, version=version)


def _position(revision, era=1):
    return store.Position(era=era, revision=revision)


def _update(*items, revision, era=1):
    return _store_cache.encode_update(
        items=items, position=_position(revision, era)
    )


def test_server_that_left_does_not_return_through_a_hub_that_lags(
    cache, applied
):
    """Guards against a server that is used again after it left.

    A follower whose hub was killed joins one that has read less of the store.
    The new hub then reads and passes on what the follower knows to be over.
    """
    cache.replace_all([_item(SERVER, 90), _item(OTHER, 91)], _position(92))
    cache.apply_update(_update(_item(SERVER, 95, None), revision=95))
    del applied[:]
    cache.apply_update(_update(_item(SERVER, 93), revision=93))
    cache.apply_update(_update(_item(OTHER, 94), revision=94))
    assert not applied and cache.position == _position(95)
    cache.apply_update(_update(_item(OTHER, 96), revision=96))
    assert applied == [({OTHER: b"{}"}, CHANGES)]


def test_item_newer_than_the_hub_is_kept(cache):
    """Guards against an update that undoes a change until the next one.

    The follower's position is that of the first page of its listing, a later
    page of which is newer than the hub.
    """
    new, added = _item(SERVER, 98, b"new"), _item(OTHER, 99)
    cache.replace_all([new, added], _position(90))
    hub = _make_cache()
    hub.replace_all([_item(SERVER, 93, b"old")], _position(95))
    cache.apply_update(hub.update_since(cache.position))
    items, _ = _store_cache.decode_update(cache.update_since(_position(0)))
    assert set(items) == {new, added} and cache.position == _position(95)


def test_items_from_before_a_restore_do_not_survive_an_update(cache):
    """Guards against lost writes that look newer than the restored store.

    The follower's copy is a stale listing, whose items may be from before the
    restore. The hub sends all items, as it knows what the store has lost.
    """
    cache.replace_all(
        [_item(SERVER, 98), _item(OTHER, 99)], _position(90, 2), stale=True
    )
    hub = _store_cache.StoreCache(
        apply=lambda items, scope: None, export_memory=node_pb2.StoreMemory
    )
    restored = _item(SERVER, 88, b"restored")
    hub.replace_all([restored], _position(95, 2))
    cache.apply_update(hub.update_since(cache.position))
    items, _ = _store_cache.decode_update(cache.update_since(_position(0)))
    assert items == [restored] and cache.confirmed


def test_older_listing_is_ignored(cache, applied):
    """Guards against a stale listing that undoes changes."""
    cache.replace_all([_item(SERVER, 95)], _position(95))
    del applied[:]
    cache.replace_all([], _position(94))
    assert not applied


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _StoreState:
    """Contents of the store at a position."""

    position: store.Position
    items: dict


class _DrilledStore:
    """A store that is written, and restored from earlier states of its own.

    Attributes:
      shown: all _StoreStates that it ever had, the latest last.
      changes: list of the changes of the present era since its restore.
    """

    def __init__(self):
        self.shown = [_StoreState(position=_position(1), items={})]
        self.changes = []

    @property
    def state(self):
        return self.shown[-1]

    def write(self, key, exists):
        """Write a value that no other write has, or remove the key."""
        revision = self.state.position.revision + 1
        value = b"%d" % len(self.shown) if exists else None
        change = _item(f"servers/i-{key}", revision, value)
        items = dict(self.state.items)
        items.pop(change.key, None)
        if exists:
            items[change.key] = change
        self.changes.append(change)
        self._show(
            dataclasses.replace(self.state.position, revision=revision), items
        )

    def restore(self, age, rewritten):
        """Go back by some states to a new era, and write some keys again."""
        copy = self.shown[max(0, len(self.shown) - 1 - age)]
        revision = copy.position.revision
        era = self.state.position.era + 1
        self.changes = []
        self._show(_position(revision, era), copy.items)
        for key in rewritten:
            self.write(key, True)

    def states_since(self, position):
        """Return the states of the era at the position and after it."""
        return [
            state
            for state in self.shown
            if state.position.era == position.era
            and state.position.revision >= position.revision
        ]

    def _show(self, position, items):
        self.shown.append(_StoreState(position=position, items=items))


class _DrilledRegion:
    """Caches of nodes that list a store, read its changes and follow others.

    A node that follows gets what its hub has read from then on.
    """

    def __init__(self):
        self.store = _DrilledStore()
        self.caches = [_make_cache() for _ in range(3)]
        self.hubs = {}

    def start(self, node, age):
        """Start a node with a stale listing; it names the present position."""
        self.leave(node)
        state = self.store.state
        listed = self.store.shown[max(0, len(self.store.shown) - 1 - age)]
        newest = max((i.version for i in listed.items.values()), default=1)
        cache = self.caches[node] = _make_cache()
        if newest > state.position.revision:
            cache.replace_all(state.items.values(), state.position)
            return
        cache.replace_all(
            listed.items.values(),
            dataclasses.replace(state.position, revision=newest),
            stale=True,
        )

    def leave(self, node):
        """Stop following, and lose the own followers."""
        self.hubs = {
            follower: hub
            for follower, hub in self.hubs.items()
            if node not in (follower, hub)
        }

    def join(self, node, hub):
        """Let a node follow another one, which may lag behind."""
        if node == hub:
            return
        self.leave(node)
        self.hubs[node] = hub
        self._send(
            node, self.caches[hub].update_since(self.caches[node].position)
        )

    def read(self, node):
        """Read what the store has changed, or list it, as a hub."""
        self.hubs.pop(node, None)
        cache, state = self.caches[node], self.store.state
        known = cache.position
        if not cache.confirmed or known.era != state.position.era:
            cache.replace_all(state.items.values(), state.position)
            self._broadcast(node, cache.update_since(known))
            return
        changes = [
            change
            for change in self.store.changes
            if change.version > known.revision
        ]
        cache.apply_changes(changes, state.position)
        if changes:
            self._broadcast(
                node,
                _store_cache.encode_update(
                    items=changes, position=state.position
                ),
            )

    def _broadcast(self, hub, update):
        for follower, followed in list(self.hubs.items()):
            if followed == hub:
                self._send(follower, update)

    def _send(self, node, update):
        try:
            self.caches[node].apply_update(update)
        except _store_cache.RestoreMissed:
            del self.hubs[node]


def _cached_items(cache):
    items, _ = _store_cache.decode_update(cache.update_since(store.Position()))
    return {item.key: item for item in items}


def _check_copy(drilled_store, cache):
    """Check that a copy has no item that the store does not have.

    It is the store's state at the copy's position, and may have later changes
    too: a removal leaves nothing by which a stale listing shows its age.
    """
    if not (cache.filled and cache.confirmed):
        return
    states = drilled_store.states_since(cache.position)
    items = _cached_items(cache)
    for item in items.values():
        assert any(state.items.get(item.key) == item for state in states)
    for key in states[0].items.keys() - items.keys():
        assert any(key not in state.items for state in states)


_NODES = strategies.integers(0, 2)
_KEYS = strategies.integers(0, 3)
_AGES = strategies.integers(0, 6)
_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("write"), _KEYS, strategies.booleans()
        ),
        strategies.tuples(
            strategies.just("restore"),
            _AGES,
            strategies.lists(_KEYS, max_size=4),
        ),
        strategies.tuples(strategies.just("start"), _NODES, _AGES),
        strategies.tuples(strategies.just("read"), _NODES),
        strategies.tuples(strategies.just("join"), _NODES, _NODES),
    ),
    min_size=8,
    max_size=30,
)


@hypothesis.settings(max_examples=300)
@hypothesis.given(steps=_STEPS, hub=_NODES)
def test_any_order_of_hubs_gives_the_state_of_the_newest(steps, hub):
    """Guards against a change that is undone by an older one, or missed.

    For any order of writes, restores, stale and fresh listings and hubs, no
    copy that counts as confirmed has what the store has given up. At the end
    all nodes follow one hub that reads on.
    """
    region = _DrilledRegion()
    for node in range(3):
        region.start(node, 0)
    actions = {
        "write": region.store.write,
        "restore": region.store.restore,
        "start": region.start,
        "read": region.read,
        "join": region.join,
    }
    for name, *arguments in steps:
        actions[name](*arguments)
        for cache in region.caches:
            _check_copy(region.store, cache)
    for node in range(3):
        region.join(node, hub)
    region.read(hub)
    region.store.write(0, True)
    region.read(hub)
    for node, cache in enumerate(region.caches):
        if node != hub and node not in region.hubs:
            region.join(node, hub)
        assert cache.confirmed
        assert cache.position == region.store.state.position
        assert _cached_items(cache) == region.store.state.items


def test_listing_of_a_later_era_replaces_newer_revisions(cache, applied):
    """Guards against ignoring a restored store until its revision is higher.

    Revisions go back with the restore and are given out again.
    """
    cache.replace_all([_item(SERVER, 90)], _position(300, era=1))
    del applied[:]
    cache.replace_all([_item(OTHER, 80)], _position(200, era=2))
    assert applied == [({OTHER: b"{}"}, topology.ContentScope.RESTORED)]
    cache.apply_update(_update(_item(SERVER, 201), revision=201, era=2))
    assert cache.position == _position(201, era=2)
    assert applied[1:] == [({SERVER: b"{}"}, CHANGES)]


def test_answer_of_an_earlier_era_is_ignored(cache, applied):
    """Guards against a late answer that brings back what was before."""
    cache.replace_all([], _position(200, era=2))
    del applied[:]
    cache.replace_all([_item(SERVER, 299)], _position(300, era=1))
    cache.apply_update(_update(_item(SERVER, 301), revision=301, era=1))
    assert not applied and cache.position == _position(200, era=2)


def test_changes_of_an_era_without_its_items_are_refused(cache):
    """Guards against a cache that mixes the items of two eras."""
    cache.replace_all([_item(SERVER, 90)], _position(300, era=1))
    with pytest.raises(_store_cache.RestoreMissed):
        cache.apply_update(_update(_item(OTHER, 301), revision=301, era=2))


def test_follower_of_an_earlier_era_gets_all_items(cache):
    """Guards against a follower that keeps what the restored store lost.

    Its revision is above that of all items, and a key that both know may have
    the same revision with another value.
    """
    follower = _make_cache()
    follower.replace_all([_item(SERVER, 90, b"old")], _position(300, era=1))
    cache.replace_all([_item(SERVER, 90, b"new")], _position(200, era=2))
    follower.apply_update(cache.update_since(follower.position))
    update = follower.update_since(store.Position())
    items, keys = _store_cache.decode_update(update)
    assert [item.value for item in items] == [b"new"] and keys == [SERVER]


def test_hub_of_an_earlier_build_is_followed(cache, applied):
    """Guards against followers without updates while nodes are replaced.

    A hub of an earlier build does not name the era of its updates.
    """
    cache.replace_all([_item(SERVER, 90)], _position(300, era=2))
    del applied[:]
    cache.apply_update(_update(_item(OTHER, 301), revision=301, era=0))
    assert applied == [({OTHER: b"{}"}, CHANGES)]
    assert cache.position == _position(301, era=2)
