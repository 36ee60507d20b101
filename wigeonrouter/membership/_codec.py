"""Translates and checks what peers send.

A message is decoded as a whole before any of it is used, so that a malformed
one changes nothing.
"""

import dataclasses
import re

from returns import result

from wigeonrouter import core
from wigeonrouter.membership import _facts
from wigeonrouter.schema import peer_pb2

MAX_MEMBERS = 10_000
MAX_INTEGER = 2**63
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_HOST = re.compile(r"(\d{1,3}\.){3}\d{1,3}")
_TO_MESSAGE = {
    core.MemberState.ALIVE: peer_pb2.ALIVE,
    core.MemberState.SUSPECT: peer_pb2.SUSPECT,
    core.MemberState.LEAVING: peer_pb2.LEAVING,
    core.MemberState.DEAD: peer_pb2.DEAD,
    core.MemberState.STARTING: peer_pb2.STARTING,
}
_FROM_MESSAGE = {number: state for state, number in _TO_MESSAGE.items()}
# What a daemon may say of itself.
_OWN_STATES = (
    core.MemberState.STARTING,
    core.MemberState.ALIVE,
    core.MemberState.LEAVING,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MalformedMessage:
    """A message from a peer that cannot be used."""

    field: str
    problem: str

    def __str__(self):
        return f"{self.field}: {self.problem}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gossip:
    """A decoded peer_pb2.GossipMessage."""

    sender: core.Member
    revision: int
    members: tuple
    facts: tuple
    facts_digest: int
    facts_parts: tuple
    members_digest: int
    full: bool
    ready: bool


class _Malformed(Exception):
    pass


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
        instance=member.instance,
    )


def fact_to_message(fact):
    """Return a peer_pb2.ServerFact."""
    return peer_pb2.ServerFact(
        address=fact.address,
        state=fact.state,
        version=fact.version,
        source=fact.source,
    )


def decode_gossip(message, *, now_ms):
    """Decode a peer_pb2.GossipMessage.

    Args:
      message: the message.
      now_ms: milliseconds since the epoch; bounds the versions of facts.
    Returns:
      Success(Gossip) or Failure(MalformedMessage).
    """
    try:
        _require(
            len(message.members) <= MAX_MEMBERS, "members", "too many records"
        )
        _require(
            len(message.facts) <= _facts.MAX_FACTS, "facts", "too many facts"
        )
        _require(
            len(message.facts_parts) in (0, _facts.PARTS),
            "facts_parts",
            f"{len(message.facts_parts)} digests",
        )
        _require(message.revision < MAX_INTEGER, "revision", "too large")
        sender = _member(message.sender, "sender")
        _require(
            sender.state in _OWN_STATES,
            "sender.state",
            f"{sender.state.value} sender",
        )
        return result.Success(
            Gossip(
                sender=sender,
                revision=message.revision,
                members=tuple(
                    _member(record, f"members[{index}]")
                    for index, record in enumerate(message.members)
                ),
                facts=tuple(
                    _fact(record, f"facts[{index}]", now_ms)
                    for index, record in enumerate(message.facts)
                ),
                facts_digest=message.facts_digest,
                facts_parts=tuple(message.facts_parts),
                members_digest=message.members_digest,
                full=message.full,
                ready=message.ready,
            )
        )
    except _Malformed as error:
        return result.Failure(error.args[0])


def decode_push(message):
    """Decode a peer_pb2.PushRequest.

    Returns:
      Success of a pair (sender, tuple of LogEntry), or
      Failure(MalformedMessage).
    """
    try:
        sender = _member(message.sender, "sender")
        entries = tuple(message.entries)
        _require(entries, "entries", "empty")
        for index, entry in enumerate(entries):
            _check_entry(entry, f"entries[{index}]")
            _require(
                not index or entry.revision == entries[index - 1].revision + 1,
                f"entries[{index}].revision",
                "not in sequence",
            )
        return result.Success((sender, entries))
    except _Malformed as error:
        return result.Failure(error.args[0])


def decode_address(text, *, field):
    """Return Success(core.Address) or Failure(MalformedMessage)."""
    try:
        return result.Success(_address(text, field))
    except _Malformed as error:
        return result.Failure(error.args[0])


def _member(record, field):
    _require(_NAME.fullmatch(record.daemon_id), f"{field}.daemon_id", "bad")
    for name in ("region", "failure_domain"):
        _require(
            _NAME.fullmatch(getattr(record, name)), f"{field}.{name}", "bad"
        )
    for name in ("incarnation", "instance"):
        _require(
            getattr(record, name) < MAX_INTEGER, f"{field}.{name}", "too large"
        )
    _require(record.state in _FROM_MESSAGE, f"{field}.state", "unknown")
    return core.Member(
        daemon_id=record.daemon_id,
        incarnation=record.incarnation,
        instance=record.instance,
        state=_FROM_MESSAGE[record.state],
        place=core.Place(
            region=record.region, failure_domain=record.failure_domain
        ),
        caller_address=_address(
            record.caller_address, f"{field}.caller_address"
        ),
        admin_address=_address(record.admin_address, f"{field}.admin_address"),
        peer_address=_address(record.peer_address, f"{field}.peer_address"),
    )


def _fact(record, field, now_ms):
    for name in ("state", "source"):
        _require(
            _NAME.fullmatch(getattr(record, name)), f"{field}.{name}", "bad"
        )
    latest = now_ms + _facts.MAX_AHEAD_S * 1000
    _require(0 < record.version <= latest, f"{field}.version", "out of bounds")
    return _facts.ServerFact(
        address=str(_address(record.address, f"{field}.address")),
        state=record.state,
        version=record.version,
        source=record.source,
    )


def _check_entry(entry, field):
    _require(
        0 < entry.revision < MAX_INTEGER, f"{field}.revision", "out of bounds"
    )
    _require(entry.change_id, f"{field}.change_id", "empty")
    for change in entry.changes:
        _require(
            change.path.startswith("/") and change.WhichOneof("action"),
            f"{field}.changes",
            "no path or no action",
        )


def _address(text, field):
    host, _, port = text.rpartition(":")
    _require(
        _HOST.fullmatch(host)
        and all(int(part) < 256 for part in host.split("."))
        and port.isascii()
        and port.isdigit()
        and 0 < int(port) < 65536,
        field,
        f"{text[:40]!r} is no address",
    )
    return core.Address(host=host, port=int(port))


def _require(fits, field, problem):
    if not fits:
        raise _Malformed(MalformedMessage(field=field, problem=problem))
