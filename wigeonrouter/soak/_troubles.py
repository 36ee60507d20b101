"""Kinds of trouble; each runs in a task of its own until it is over.

A kind is a function from a Scene and a random generator. It notes which
nodes it disturbs, so that the checks know which promises hold meanwhile.
"""

import contextlib
import time

import gevent

from wigeonrouter.soak import _links
from wigeonrouter.soak import _records

_KINDS = {}
_SHORT_S = (0.3, 2.0)
_LONG_S = (1.0, 6.0)
# A killed process is back and knows everything after this time.
_START_S = 2.5
_CUTS = ("cut", "one way")
_LINK_FAULTS = (*_CUTS, "delay", "reset", "silence", "refuse")
_BACKEND_FAULTS = (
    "errors",
    "hang",
    "reset",
    "shed",
    "garbage",
    "truncate",
    "stray",
    "unframed",
)


def trouble(function):
    """Add a kind of trouble."""
    _KINDS[function.__name__] = function
    return function


def kinds():
    """Return the dict of all kinds by name."""
    return dict(_KINDS)


@contextlib.contextmanager
def _disturbing(scene, *things, planned=False, after=0.0):
    """Note that nodes or backend servers are disturbed.

    Without any, it concerns all nodes.
    """
    began = time.monotonic()
    try:
        yield
    finally:
        ended = time.monotonic() + after
        scene.seen.troubles.extend(
            _records.Trouble(
                name=thing.name if thing else "",
                began=began,
                ended=ended,
                planned=planned,
            )
            for thing in things or (None,)
        )


def _some_nodes(scene, rng):
    nodes = scene.fleet.nodes
    return rng.sample(nodes, rng.choice((1, 1, 2, len(nodes) // 2)))


def _some_backends(scene, rng):
    staying = scene.staying
    count = max(1, round(len(staying) * rng.uniform(0, 0.3)))
    return rng.sample(staying, count)


@trouble
def kill_nodes(scene, rng):
    """Processes are killed and start again."""
    nodes = _some_nodes(scene, rng)
    with _disturbing(scene, *nodes, after=_START_S):
        for node in nodes:
            node.kill()


@trouble
def kill_all(scene, rng):
    """All processes are killed at once."""
    with _disturbing(scene, after=_START_S):
        for node in scene.fleet.nodes:
            node.kill()


@trouble
def pause_nodes(scene, rng):
    """Processes stand still and go on."""
    nodes = _some_nodes(scene, rng)
    with _disturbing(scene, *nodes):
        for node in nodes:
            node.pause()
        gevent.sleep(rng.uniform(*_LONG_S))
        for node in nodes:
            node.resume()


@trouble
def stop_nodes(scene, rng):
    """Processes are asked to stop, one after the other, and start again."""
    for node in _some_nodes(scene, rng):
        incarnation = node.incarnation
        with _disturbing(scene, node, planned=True, after=_START_S):
            node.terminate()
            while node.incarnation == incarnation:
                gevent.sleep(0.05)


@trouble
def stop_then_kill(scene, rng):
    """A process is killed while it stops."""
    (node,) = rng.sample(scene.fleet.nodes, 1)
    with _disturbing(scene, node, after=_START_S):
        node.terminate()
        gevent.sleep(rng.uniform(*_SHORT_S))
        node.kill()


@trouble
def hang_up(scene, rng):
    """Processes are asked to read their settings again."""
    for node in _some_nodes(scene, rng):
        node.hang_up()
        gevent.sleep(rng.uniform(0, 0.2))


def _disturb_links(links, rng, *, how=None):
    """Let links misbehave for a while."""
    how = how or rng.choice(_LINK_FAULTS)
    direction = rng.choice(tuple(_links.Direction))
    for link in links:
        if how == "cut":
            link.cut()
        elif how == "one way":
            link.cut(direction)
        elif how == "delay":
            link.delay = rng.uniform(0.05, 0.4)
        elif how == "reset":
            link.reset()
        elif how == "silence":
            link.silence()
        else:
            link.refusing = True
    gevent.sleep(rng.uniform(*_LONG_S))
    for link in links:
        link.heal()


@trouble
def store_links(scene, rng):
    """Some nodes lose the store."""
    nodes = _some_nodes(scene, rng)
    with _disturbing(scene, *nodes):
        _disturb_links([node.store_link for node in nodes], rng)


@trouble
def peer_links(scene, rng):
    """Some nodes lose the other nodes, but not the store."""
    links = []
    nodes = _some_nodes(scene, rng)
    for node in nodes:
        links.extend(node.peer_links.values())
        links.extend(
            other.peer_links[node.name]
            for other in scene.fleet.nodes
            if node.name in other.peer_links
        )
    how = rng.choice(_LINK_FAULTS)
    # A node that only loses its peers still keeps all promises.
    with (
        _disturbing(scene, *nodes)
        if how not in _CUTS
        else contextlib.nullcontext()
    ):
        _disturb_links(links, rng, how=how)


@trouble
def one_peer_link(scene, rng):
    """One node does not reach one other."""
    (node,) = rng.sample(scene.fleet.nodes, 1)
    if node.peer_links:
        link = rng.choice(list(node.peer_links.values()))
        _disturb_links([link], rng, how=rng.choice(_CUTS))


@trouble
def caller_links(scene, rng):
    """The connections of callers to some nodes misbehave."""
    nodes = _some_nodes(scene, rng)
    with _disturbing(scene, *nodes):
        _disturb_links([node.caller_link for node in nodes], rng)


@trouble
def backend_links(scene, rng):
    """Some backend servers cannot be reached."""
    chosen = _some_backends(scene, rng)
    with _disturbing(scene, *chosen):
        _disturb_links([backend.link for backend in chosen], rng)


@trouble
def backend_faults(scene, rng):
    """Some backend servers fail their requests."""
    chosen = _some_backends(scene, rng)
    with _disturbing(scene, *chosen):
        for backend in chosen:
            backend.server.fault = rng.choice(_BACKEND_FAULTS)
        gevent.sleep(rng.uniform(*_LONG_S))
        for backend in chosen:
            backend.server.fault = ""


@trouble
def slow_backends(scene, rng):
    """Some backend servers turn slow."""
    chosen = _some_backends(scene, rng)
    for backend in chosen:
        backend.server.slowdown = rng.uniform(2, 10)
    gevent.sleep(rng.uniform(*_LONG_S))
    for backend in chosen:
        backend.server.slowdown = 1.0


@trouble
def drain_backends(scene, rng):
    """Some backend servers leave as planned, and others join."""
    chosen = _some_backends(scene, rng)[:3]
    gevent.joinall([gevent.spawn(scene.drain, b) for b in chosen])
    for backend in chosen:
        scene.add_backend(backend.service, rng.choice(("za", "zb", "zc")))


@trouble
def crash_backend(scene, rng):
    """A backend server ends, and its address goes to another service."""
    backend = rng.choice(scene.staying)
    with _disturbing(scene, backend):
        scene.replace(backend)
    gevent.sleep(rng.uniform(*_SHORT_S))
    scene.add_backend(backend.service, rng.choice(("za", "zc")))


@trouble
def change_configuration(scene, rng):
    """New configurations come, at times in quick succession."""
    for _ in range(rng.choice((1, 1, 6))):
        scene.change_configuration()
        gevent.sleep(rng.uniform(0.05, 0.5))


def _store_fault(scene, rng, attribute, value):
    with _disturbing(scene):
        setattr(scene.store, attribute, value)
        gevent.sleep(rng.uniform(*_LONG_S))
        # Troubles overlap: what stood before may be another one's.
        setattr(scene.store, attribute, type(value)())


@trouble
def store_refuses(scene, rng):
    """The store answers that it cannot serve."""
    _store_fault(scene, rng, "refusing", True)


@trouble
def store_is_silent(scene, rng):
    """The store takes calls and answers none."""
    _store_fault(scene, rng, "silent", True)


@trouble
def store_resets(scene, rng):
    """The store ends its connections."""
    _store_fault(scene, rng, "resetting", True)


@trouble
def store_loses_answers(scene, rng):
    """The store does what is asked and does not answer."""
    _store_fault(scene, rng, "losing", True)


@trouble
def store_is_slow(scene, rng):
    """The store answers late."""
    _store_fault(scene, rng, "delay", rng.uniform(0.05, 0.5))


@trouble
def store_reads_are_old(scene, rng):
    """Reads that may be old are, while things change and nodes start."""
    _store_fault(scene, rng, "old_reads", True)


@trouble
def store_forgets_history(scene, rng):
    """The store drops its history while changes are made."""
    with _disturbing(scene):
        scene.store.refusing = True
        scene.change_configuration()
        gevent.sleep(rng.uniform(0.5, 1.5))
        scene.store.forget_history()
        scene.store.refusing = False


@trouble
def registrations_lapse(scene, rng):
    """The store is away, and the registrations lapse meanwhile."""
    with _disturbing(scene):
        scene.store.refusing = True
        gevent.sleep(rng.uniform(1.0, 4.0))
        scene.lapse()
        gevent.sleep(rng.uniform(0, 1.0))
        scene.store.refusing = False
        scene.register_again()
