"""Tests of the copy of the store that followers keep."""

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


@hypothesis.given(
    changes=strategies.lists(
        strategies.tuples(strategies.integers(0, 3), strategies.booleans()),
        min_size=1,
        max_size=20,
    ),
    data=strategies.data(),
)
def test_any_order_of_hubs_gives_the_state_of_the_newest(changes, data):
    """Guards against a change that is undone by an older one, or missed.

    A follower gets all changes up to some revision from one hub, and then
    those from an older revision on from another.
    """
    history = [
        _item(f"servers/i-{key}", version, b"{}" if exists else None)
        for version, (key, exists) in enumerate(changes, start=1)
    ]
    follower = _make_cache()
    hub = _make_cache()
    for cache in (follower, hub):
        cache.replace_all([], _position(0))
    seen = data.draw(strategies.integers(0, len(history)))
    behind = data.draw(strategies.integers(0, seen))
    for cache, count in ((follower, seen), (hub, behind)):
        for item in history[:count]:
            cache.apply_update(_update(item, revision=item.version))
    follower.apply_update(hub.update_since(follower.position))
    for item in history[behind:]:
        hub.apply_changes([item], _position(item.version))
        follower.apply_update(_update(item, revision=item.version))
    newest = hub.update_since(store.Position())
    assert follower.position == hub.position
    assert _store_cache.decode_update(
        follower.update_since(store.Position())
    ) == _store_cache.decode_update(newest)


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
