"""Requests to other nodes of the region, for their role or store cache."""

import gevent

from wigeonrouter import topology
from wigeonrouter.node import _channel
from wigeonrouter.schema import node_pb2

CONNECT_TIMEOUT_S = 0.3
REQUEST_TIMEOUT_S = 0.3
_ROLE_NUMBERS = {
    topology.RoleKind.UNDECIDED: node_pb2.Role.UNDECIDED,
    topology.RoleKind.HUB: node_pb2.Role.HUB,
    topology.RoleKind.FOLLOWER: node_pb2.Role.FOLLOWER,
}
_ROLE_KINDS = {number: kind for kind, number in _ROLE_NUMBERS.items()}


def query_roles(hosts, *, port):
    """Query some hosts for their roles in parallel.

    Args:
      hosts: iterable of hosts.
      port: port for traffic between nodes.
    Returns:
      Dict from host to its topology.Role; hosts that did not reply in time
      are missing.
    """
    tasks = {host: gevent.spawn(_query_role, host, port) for host in hosts}
    gevent.joinall(list(tasks.values()), timeout=2 * REQUEST_TIMEOUT_S)
    return {
        host: task.value
        for host, task in tasks.items()
        if task.ready() and task.value is not None
    }


def fetch_update(host, *, port, position):
    """Fetch a node's Update since a store.Position.

    Returns:
      Update message, None if the node did not reply with one in time.
    """
    fetch = node_pb2.Fetch(revision=position.revision, era=position.era)
    reply = _exchange(host, port, node_pb2.PeerMessage(fetch=fetch))
    if reply is None or not reply.HasField("update"):
        return None
    return reply.update


def check_server(hosts, *, port, instance):
    """Ask some hosts in parallel whether a backend server accepts them.

    Returns:
      List of the verdicts of ServerCheckResult; hosts that did not reply in
      time, or that do not know the question, have none.
    """
    message = node_pb2.PeerMessage(
        server_check=node_pb2.ServerCheck(instance=instance)
    )
    tasks = [gevent.spawn(_exchange, host, port, message) for host in hosts]
    gevent.joinall(tasks, timeout=REQUEST_TIMEOUT_S)
    replies = [task.value for task in tasks if task.ready()]
    return [
        reply.server_check_result.verdict
        for reply in replies
        if reply is not None and reply.HasField("server_check_result")
    ]


def may_take_over(hub, *, port, own_host):
    """Ask a hub that lost the store whether this node may take its place.

    Returns:
      Whether it may. A hub that does not respond, or of an earlier build,
      cannot refuse.
    """
    message = node_pb2.PeerMessage(take_over=node_pb2.TakeOver(host=own_host))
    reply = _exchange(hub, port, message)
    if reply is None or not reply.HasField("take_over_result"):
        return True
    return reply.take_over_result.granted


def announce_role(host, *, port, role):
    """Tell a host this node's topology.Role; there is no reply."""
    _exchange(host, port, encode_role(role))


def decode_role(message):
    """Decode a Role message into a topology.Role."""
    return topology.Role(
        kind=_ROLE_KINDS.get(message.kind, topology.RoleKind.UNDECIDED),
        hub=message.hub,
        store_reachable=message.store_answers,
    )


def encode_role(role):
    """Encode a topology.Role as a PeerMessage."""
    return node_pb2.PeerMessage(
        role=node_pb2.Role(
            kind=_ROLE_NUMBERS[role.kind],
            hub=role.hub,
            store_answers=role.store_reachable,
        )
    )


def _query_role(host, port):
    reply = _exchange(host, port, node_pb2.PeerMessage(ask=node_pb2.Ask()))
    if reply is None or not reply.HasField("role"):
        return None
    return decode_role(reply.role)


def _exchange(host, port, message):
    try:
        channel = _channel.connect(
            host=host, port=port, timeout=CONNECT_TIMEOUT_S
        )
    except _channel.ChannelClosed:
        return None
    try:
        channel.send(message, timeout=REQUEST_TIMEOUT_S)
        return channel.receive(timeout=REQUEST_TIMEOUT_S)
    except _channel.ChannelClosed:
        return None
    finally:
        channel.close()
