"""Tests of the copy of the store that followers keep."""

import hypothesis
from hypothesis import strategies
import pytest

from wigeonrouter import store
from wigeonrouter.node import _store_cache

SERVER = "servers/i-1"
OTHER = "servers/i-2"


@pytest.fixture
def applied():
    """Return a list of what the cache has applied: (keys, complete)."""
    return []


@pytest.fixture
def cache(applied):
    """Return an empty StoreCache."""
    return _store_cache.StoreCache(
        apply=lambda items, complete: applied.append(
            ({item.key: item.value for item in items}, complete)
        )
    )


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
    assert applied == [({OTHER: b"{}"}, False)]


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
    follower = _store_cache.StoreCache(apply=lambda *_: None)
    hub = _store_cache.StoreCache(apply=lambda *_: None)
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
