"""The roster: the states of a region's nodes, and changes of it.

Load pattern: hundreds of nodes start, restart or stop at the same time. The
size of the roster and the number of its receivers both grow with the region,
so only what changed is sent, and the whole roster only to a node that joins.
"""

import dataclasses

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.schema import node_pb2

_MILLIHERTZ = 1000
_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeFacts:
    """What a node tells the others of its region about itself.

    Attributes:
      ready: whether it accepts callers.
      cut_from_servers: whether it is cut off from all backend servers.
      forwarding_address: where it takes requests from other nodes, "" if it
        takes none.
      rate_limits: dict from instance to the requests per second that the
        backend server named to it, None for a limit that has ended.
      statements: iterable of the core.ServerStatements that it has heard.
      checks_keys: whether it authenticates requests, as all nodes of this
        build do.
    """

    ready: bool
    cut_from_servers: bool
    forwarding_address: str
    rate_limits: dict
    statements: tuple
    checks_keys: bool = True


def find_change(before, after):
    """Return the RosterChange from one roster to another, None if equal.

    Args:
      before: dict from host to NodeState.
      after: dict from host to NodeState.
    """
    nodes = [
        after[host]
        for host in sorted(after)
        if host not in before or before[host] != after[host]
    ]
    removed_hosts = sorted(before.keys() - after.keys())
    if not (nodes or removed_hosts):
        return None
    return node_pb2.RosterChange(nodes=nodes, removed_hosts=removed_hosts)


def apply_change(roster, change):
    """Return a roster after a RosterChange.

    Args:
      roster: dict from host to NodeState.
      change: RosterChange.
    """
    removed_hosts = set(change.removed_hosts)
    changed = {
        host: state
        for host, state in roster.items()
        if host not in removed_hosts
    }
    changed.update((state.host, state) for state in change.nodes)
    return changed


def to_message(roster):
    """Return the Roster message of a dict from host to NodeState."""
    return node_pb2.Roster(nodes=[roster[host] for host in sorted(roster)])


def from_message(message):
    """Return the dict from host to NodeState of a Roster message."""
    return {state.host: state for state in message.nodes}


def own_state(*, settings, facts):
    """Return the NodeState of this node.

    Args:
      settings: topology.NodeSettings.
      facts: NodeFacts.
    """
    return node_pb2.NodeState(
        host=settings.host,
        caller_address=str(settings.caller_address),
        failure_domain=settings.place.failure_domain,
        ready=facts.ready,
        capacity_millicores=settings.capacity,
        rate_limits=[
            _encode_rate_limit(instance, facts.rate_limits[instance])
            for instance in sorted(facts.rate_limits)
        ],
        cut_from_servers=facts.cut_from_servers,
        forwarding_address=facts.forwarding_address,
        statements=[
            _encode_statement(statement) for statement in facts.statements
        ],
        checks_keys=facts.checks_keys,
    )


def to_peers(roster):
    """Return a tuple of the topology.Peers of a roster."""
    return tuple(
        topology.Peer(
            host=state.host,
            caller_address=state.caller_address,
            failure_domain=state.failure_domain,
            ready=state.ready,
            capacity=state.capacity_millicores,
            reaches_servers=not state.cut_from_servers,
            forwarding_address=state.forwarding_address,
            rate_limits={
                limit.instance: _decode_rate_limit(limit)
                for limit in state.rate_limits
            },
            statements=tuple(map(_decode_statement, state.statements)),
            checks_keys=state.checks_keys,
        )
        for state in roster.values()
    )


def _encode_rate_limit(instance, per_second):
    if per_second is None:
        return node_pb2.RateLimit(instance=instance, ended=True)
    return node_pb2.RateLimit(
        instance=instance, millihertz=round(per_second * _MILLIHERTZ)
    )


def _decode_rate_limit(limit):
    return None if limit.ended else limit.millihertz / _MILLIHERTZ


def _encode_statement(statement):
    return node_pb2.ServerStatement(
        instance=statement.instance,
        started_ms=statement.started_ms,
        leaving=statement.leaving,
        pause_ms=round(statement.pause * _MILLISECONDS),
        number=statement.number,
    )


def _decode_statement(message):
    return core.ServerStatement(
        instance=message.instance,
        started_ms=message.started_ms,
        leaving=message.leaving,
        pause=message.pause_ms / _MILLISECONDS,
        number=message.number,
    )
