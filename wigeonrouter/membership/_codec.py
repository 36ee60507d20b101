"""Translates members between records and messages."""

from wigeonrouter import core
from wigeonrouter.schema import peer_pb2

_TO_MESSAGE = {
    core.MemberState.ALIVE: peer_pb2.ALIVE,
    core.MemberState.SUSPECT: peer_pb2.SUSPECT,
    core.MemberState.LEAVING: peer_pb2.LEAVING,
    core.MemberState.DEAD: peer_pb2.DEAD,
    core.MemberState.STARTING: peer_pb2.STARTING,
}
_FROM_MESSAGE = {number: state for state, number in _TO_MESSAGE.items()}


def member_to_message(member):
    """Return a peer_pb2.MemberRecord."""
    return peer_pb2.MemberRecord(
        daemon_id=member.daemon_id,
        incarnation=member.incarnation,
        state=_TO_MESSAGE[member.state],
        region=member.place.region,
        failure_domain=member.place.failure_domain,
        caller_address=str(member.caller_address),
        admin_address=str(member.admin_address),
        peer_address=str(member.peer_address),
    )


def member_from_message(message):
    """Return a core.Member.

    Raises:
      ValueError: an address is malformed.
    """
    return core.Member(
        daemon_id=message.daemon_id,
        incarnation=message.incarnation,
        state=_FROM_MESSAGE[message.state],
        place=core.Place(
            region=message.region, failure_domain=message.failure_domain
        ),
        caller_address=core.parse_address(message.caller_address),
        admin_address=core.parse_address(message.admin_address),
        peer_address=core.parse_address(message.peer_address),
    )
