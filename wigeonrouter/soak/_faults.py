"""Fault injection: the kinds of faults of a soak run.

A kind is a function of an Environment and a random generator. It injects a
fault, runs in a greenlet of its own, and returns when the fault is over. It
records which nodes or backend servers the fault affects, so that the checks
know which invariants still have to hold for them.
"""

import contextlib
import time

import gevent

from wigeonrouter.soak import _fault_proxy
from wigeonrouter.soak import _records
from wigeonrouter.soak import _surplus

_FAULT_KINDS = {}
# Kinds that a plan gets apart from those drawn at random.
_PLANNED_APART = set()
_SHORT_DURATION_S = (0.3, 2.0)
_LONG_DURATION_S = (1.0, 6.0)
# Time between the first and the last SIGTERM of a roll, about.
_ROLL_DURATION_S = (1.5, 7.0)
# Time in which a killed process has restarted and received the full state.
_RESTART_TIME_S = 2.5
_PARTITIONS = ("cut", "one way")
_PROXY_FAULTS = (*_PARTITIONS, "delay", "reset", "silence", "refuse")
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


def fault_kind(function):
    """Register a function as a kind of fault under its own name."""
    _FAULT_KINDS[function.__name__] = function
    return function


def planned_apart(function):
    """Register a kind of fault that random choices leave out.

    A seed keeps its plan when such a kind is added.
    """
    _PLANNED_APART.add(function.__name__)
    return fault_kind(function)


def kinds():
    """Return a dict from name to function of all kinds of faults."""
    return dict(_FAULT_KINDS)


def random_kinds():
    """Return the sorted names of the kinds that are chosen at random."""
    return sorted(_FAULT_KINDS.keys() - _PLANNED_APART)


@contextlib.contextmanager
def recording_fault(
    environment,
    *targets,
    graceful_stop=False,
    store_only=False,
    recovery_time=0.0,
):
    """Record a FaultPeriod around the body of the with statement.

    Args:
      targets: affected nodes and backend servers; none means all of them.
      graceful_stop: whether the fault is a stop by SIGTERM.
      store_only: whether the fault affects nothing but the store.
      recovery_time: seconds by which the effects outlast the body.
    """
    began = time.monotonic()
    try:
        yield
    finally:
        ended = time.monotonic() + recovery_time
        environment.observations.fault_periods.extend(
            _records.FaultPeriod(
                name=target.name if target else "",
                began=began,
                ended=ended,
                graceful_stop=graceful_stop,
                store_only=store_only,
            )
            for target in targets or (None,)
        )


def _sample_nodes(environment, rng):
    nodes = environment.fleet.nodes
    return rng.sample(nodes, rng.choice((1, 1, 2, len(nodes) // 2)))


def _sample_backends(environment, rng):
    active = environment.active
    count = max(1, round(len(active) * rng.uniform(0, 0.3)))
    return rng.sample(active, count)


@fault_kind
def kill_nodes(environment, rng):
    """Kills some node processes; their supervisors restart them."""
    nodes = _sample_nodes(environment, rng)
    with recording_fault(environment, *nodes, recovery_time=_RESTART_TIME_S):
        for node in nodes:
            node.kill()


@fault_kind
def kill_all(environment, rng):
    """Kills all node processes at once."""
    with recording_fault(environment, recovery_time=_RESTART_TIME_S):
        for node in environment.fleet.nodes:
            node.kill()


@fault_kind
def pause_nodes(environment, rng):
    """Suspends some node processes by SIGSTOP and resumes them later."""
    nodes = _sample_nodes(environment, rng)
    with recording_fault(environment, *nodes):
        for node in nodes:
            node.pause()
        gevent.sleep(rng.uniform(*_LONG_DURATION_S))
        for node in nodes:
            node.resume()


@fault_kind
def stop_nodes(environment, rng):
    """Stops some nodes one after the other by SIGTERM; they are restarted."""
    for node in _sample_nodes(environment, rng):
        _stop_node(environment, node)


def _stop_node(environment, node):
    """Stop a node by SIGTERM and wait until it is started again."""
    incarnation = node.incarnation
    with recording_fault(
        environment,
        node,
        graceful_stop=True,
        recovery_time=_RESTART_TIME_S,
    ):
        node.terminate()
        while node.incarnation == incarnation:
            gevent.sleep(0.05)


@planned_apart
def roll_nodes(environment, rng):
    """Sends SIGTERM to all nodes in turn, before the previous one is back."""
    nodes = environment.fleet.nodes
    gap = rng.uniform(*_ROLL_DURATION_S) / len(nodes)
    stops = []
    for node in rng.sample(nodes, len(nodes)):
        stops.append(gevent.spawn(_stop_node, environment, node))
        gevent.sleep(gap)
    gevent.joinall(stops, raise_error=True)


@fault_kind
def stop_then_kill(environment, rng):
    """Kills a node process during its graceful stop."""
    (node,) = rng.sample(environment.fleet.nodes, 1)
    with recording_fault(environment, node, recovery_time=_RESTART_TIME_S):
        node.terminate()
        gevent.sleep(rng.uniform(*_SHORT_DURATION_S))
        node.kill()


@fault_kind
def hang_up(environment, rng):
    """Sends SIGHUP to some nodes, which makes them reload their settings."""
    for node in _sample_nodes(environment, rng):
        node.reload_settings()
        gevent.sleep(rng.uniform(0, 0.2))


def _inject_proxy_fault(proxies, rng, *, proxy_fault=None):
    """Inject a fault into proxies and clear it after a random time.

    Args:
      proxy_fault: one of _PROXY_FAULTS; None chooses one at random.
    """
    proxy_fault = proxy_fault or rng.choice(_PROXY_FAULTS)
    direction = rng.choice(tuple(_fault_proxy.Direction))
    for proxy in proxies:
        if proxy_fault == "cut":
            proxy.partition()
        elif proxy_fault == "one way":
            proxy.partition(direction)
        elif proxy_fault == "delay":
            proxy.delay = rng.uniform(0.05, 0.4)
        elif proxy_fault == "reset":
            proxy.reset()
        elif proxy_fault == "silence":
            proxy.blackhole()
        else:
            proxy.resets_new_connections = True
    gevent.sleep(rng.uniform(*_LONG_DURATION_S))
    for proxy in proxies:
        proxy.clear_faults()


@fault_kind
def store_links(environment, rng):
    """Injects a fault between some nodes and the store."""
    nodes = _sample_nodes(environment, rng)
    with recording_fault(environment, *nodes):
        _inject_proxy_fault([node.store_proxy for node in nodes], rng)


@fault_kind
def peer_links(environment, rng):
    """Injects a fault between some nodes and all other nodes.

    Their connections to the store still work.
    """
    proxies = []
    nodes = _sample_nodes(environment, rng)
    for node in nodes:
        proxies.extend(node.peer_proxies.values())
        proxies.extend(
            other.peer_proxies[node.name]
            for other in environment.fleet.nodes
            if node.name in other.peer_proxies
        )
    proxy_fault = rng.choice(_PROXY_FAULTS)
    # All invariants also hold for a node that is only partitioned from its
    # peers.
    with (
        recording_fault(environment, *nodes)
        if proxy_fault not in _PARTITIONS
        else contextlib.nullcontext()
    ):
        _inject_proxy_fault(proxies, rng, proxy_fault=proxy_fault)


@fault_kind
def one_peer_link(environment, rng):
    """Partitions the connections that one node opens to one other node."""
    (node,) = rng.sample(environment.fleet.nodes, 1)
    if node.peer_proxies:
        proxy = rng.choice(list(node.peer_proxies.values()))
        _inject_proxy_fault([proxy], rng, proxy_fault=rng.choice(_PARTITIONS))


@fault_kind
def caller_links(environment, rng):
    """Injects a fault between callers and some nodes."""
    nodes = _sample_nodes(environment, rng)
    with recording_fault(environment, *nodes):
        _inject_proxy_fault([node.caller_proxy for node in nodes], rng)


@fault_kind
def backend_links(environment, rng):
    """Injects a fault between the nodes and some backend servers."""
    chosen = _sample_backends(environment, rng)
    with recording_fault(environment, *chosen):
        _inject_proxy_fault([backend.proxy for backend in chosen], rng)


@fault_kind
def backend_faults(environment, rng):
    """Makes some backend servers respond incorrectly or not at all."""
    chosen = _sample_backends(environment, rng)
    with recording_fault(environment, *chosen):
        for backend in chosen:
            backend.server.fault = rng.choice(_BACKEND_FAULTS)
        gevent.sleep(rng.uniform(*_LONG_DURATION_S))
        for backend in chosen:
            backend.server.fault = ""


@fault_kind
def slow_backends(environment, rng):
    """Makes some backend servers slower by a factor of 2 to 10."""
    chosen = _sample_backends(environment, rng)
    for backend in chosen:
        backend.server.slowdown = rng.uniform(2, 10)
    gevent.sleep(rng.uniform(*_LONG_DURATION_S))
    for backend in chosen:
        backend.server.slowdown = 1.0


@fault_kind
def drain_backends(environment, rng):
    """Drains up to three backend servers, then adds new ones instead."""
    chosen = _sample_backends(environment, rng)[:3]
    gevent.joinall([gevent.spawn(environment.drain, b) for b in chosen])
    for backend in chosen:
        environment.add_backend(
            backend.service, rng.choice(("za", "zb", "zc"))
        )


@fault_kind
def crash_backend(environment, rng):
    """Stops a backend server and gives its address to another service."""
    backend = rng.choice(environment.active)
    with recording_fault(environment, backend):
        environment.replace(backend)
    gevent.sleep(rng.uniform(*_SHORT_DURATION_S))
    environment.add_backend(backend.service, rng.choice(("za", "zc")))


@planned_apart
def replace_in_place(environment, rng):
    """Starts a server again under another name while the old entry stays.

    Both entries have its address, and requests for the old name get 421,
    which it may write again.
    """
    backend = rng.choice(environment.active)
    with recording_fault(environment, backend):
        server = environment.replace_in_place(backend).server
        server.names_instance_in_probes = rng.choice((False, True))
        server.surplus.option = _surplus.make_option(rng)
        gevent.sleep(rng.uniform(*_SHORT_DURATION_S))
        environment.unregister(backend)


@fault_kind
def change_configuration(environment, rng):
    """Writes one new configuration or six in quick succession."""
    for _ in range(rng.choice((1, 1, 6))):
        environment.change_configuration()
        gevent.sleep(rng.uniform(0.05, 0.5))


def _inject_store_fault(environment, rng, attribute, value):
    with recording_fault(environment, store_only=True):
        setattr(environment.store, attribute, value)
        gevent.sleep(rng.uniform(*_LONG_DURATION_S))
        # The previous value can be that of an overlapping fault, so the
        # default of the type is restored.
        setattr(environment.store, attribute, type(value)())


@fault_kind
def store_refuses(environment, rng):
    """Makes the store respond that it is unavailable."""
    _inject_store_fault(environment, rng, "refusing", True)


@fault_kind
def store_is_silent(environment, rng):
    """Makes the store accept requests without ever responding."""
    _inject_store_fault(environment, rng, "silent", True)


@fault_kind
def store_resets(environment, rng):
    """Makes the store drop connections without executing their requests."""
    _inject_store_fault(environment, rng, "resetting", True)


@fault_kind
def store_loses_answers(environment, rng):
    """Makes the store execute requests but lose the responses."""
    _inject_store_fault(environment, rng, "losing", True)


@fault_kind
def store_is_slow(environment, rng):
    """Delays the responses of the store by 50 to 500 ms."""
    _inject_store_fault(environment, rng, "delay", rng.uniform(0.05, 0.5))


@fault_kind
def store_reads_are_old(environment, rng):
    """Makes the store serve stale data for reads that permit it.

    Other faults may change data and restart nodes meanwhile.
    """
    _inject_store_fault(environment, rng, "old_reads", True)


@fault_kind
def store_forgets_history(environment, rng):
    """Makes the store drop its change history during an outage.

    The configuration changes in the same outage, so that nodes cannot catch
    up from the history.
    """
    with recording_fault(environment, store_only=True):
        environment.store.refusing = True
        environment.change_configuration()
        gevent.sleep(rng.uniform(0.5, 1.5))
        environment.store.forget_history()
        environment.store.refusing = False


@fault_kind
def registrations_lapse(environment, rng):
    """Lets all registrations expire during an outage of the store."""
    with recording_fault(environment, store_only=True):
        environment.store.refusing = True
        gevent.sleep(rng.uniform(1.0, 4.0))
        environment.remove_registrations()
        gevent.sleep(rng.uniform(0, 1.0))
        environment.store.refusing = False
        environment.restore_registrations()
