"""Encoding, decoding and validation of peer messages.

A message is decoded completely before any part of it is applied, so that a
malformed message changes nothing.
"""

import dataclasses
import re

from returns import result

from wigeonrouter import core
from wigeonrouter.membership import _facts
from wigeonrouter.schema import peer_pb2

MAX_MEMBERS = 10_000
# Integers from peers are below this, so that they fit a signed 64-bit field.
INT64_BOUND = 2**63
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_IPV4_PATTERN = re.compile(r"(\d{1,3}\.){3}\d{1,3}")
_STATE_TO_PROTO = {
    core.MemberState.ALIVE: peer_pb2.ALIVE,
    core.MemberState.SUSPECT: peer_pb2.SUSPECT,
    core.MemberState.LEAVING: peer_pb2.LEAVING,
    core.MemberState.DEAD: peer_pb2.DEAD,
    core.MemberState.STARTING: peer_pb2.STARTING,
}
_STATE_FROM_PROTO = {
    number: state for state, number in _STATE_TO_PROTO.items()
}
# States that a daemon may state about itself.
_SENDER_STATES = (
    core.MemberState.STARTING,
    core.MemberState.ALIVE,
    core.MemberState.LEAVING,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MalformedMessage:
    """Why a message from a peer was rejected.

    Attributes:
      field: path of the invalid field.
      problem: what is wrong with it.
    """

    field: str
    problem: str

    def __str__(self):
        return f"{self.field}: {self.problem}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gossip:
    """A decoded and validated peer_pb2.GossipMessage."""

    sender: core.Member
    revision: int
    members: tuple
    facts: tuple
    facts_digest: int
    facts_parts: tuple
    members_digest: int
    full: bool
    ready: bool


class _MalformedError(Exception):
    pass


def member_to_message(member):
    """Return the peer_pb2.MemberRecord of a core.Member."""
    return peer_pb2.MemberRecord(
        daemon_id=member.daemon_id,
        incarnation=member.incarnation,
        state=_STATE_TO_PROTO[member.state],
        region=member.place.region,
        failure_domain=member.place.failure_domain,
        caller_address=str(member.caller_address),
        admin_address=str(member.admin_address),
        peer_address=str(member.peer_address),
        instance=member.instance,
    )


def fact_to_message(fact):
    """Return the peer_pb2.ServerFact of a ServerFact."""
    return peer_pb2.ServerFact(
        address=fact.address,
        state=fact.state,
        version=fact.version,
        source=fact.source,
    )


def decode_gossip(message, *, now_ms):
    """Decode a peer_pb2.GossipMessage.

    Args:
      message: the received message.
      now_ms: milliseconds since the epoch; limits the versions of facts.
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
            len(message.facts_parts) in (0, _facts.DIGEST_BUCKETS),
            "facts_parts",
            f"unexpected number of digests: {len(message.facts_parts)}",
        )
        _require(message.revision < INT64_BOUND, "revision", "too large")
        sender = _decode_member(message.sender, "sender")
        _require(
            sender.state in _SENDER_STATES,
            "sender.state",
            f"sender states that it is {sender.state.value}",
        )
        return result.Success(
            Gossip(
                sender=sender,
                revision=message.revision,
                members=tuple(
                    _decode_member(record, f"members[{index}]")
                    for index, record in enumerate(message.members)
                ),
                facts=tuple(
                    _decode_fact(record, f"facts[{index}]", now_ms)
                    for index, record in enumerate(message.facts)
                ),
                facts_digest=message.facts_digest,
                facts_parts=tuple(message.facts_parts),
                members_digest=message.members_digest,
                full=message.full,
                ready=message.ready,
            )
        )
    except _MalformedError as error:
        return result.Failure(error.args[0])


def decode_push(message):
    """Decode a peer_pb2.PushRequest.

    Returns:
      Success of a pair (sender, tuple of LogEntry), or
      Failure(MalformedMessage).
    """
    try:
        sender = _decode_member(message.sender, "sender")
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
    except _MalformedError as error:
        return result.Failure(error.args[0])


def decode_address(text, *, field):
    """Decode an address of the form ``1.2.3.4:80``.

    Args:
      text: the received text.
      field: name of the field for the error.
    Returns:
      Success(core.Address) or Failure(MalformedMessage).
    """
    try:
        return result.Success(_parse_address(text, field))
    except _MalformedError as error:
        return result.Failure(error.args[0])


def _decode_member(record, field):
    _require(
        _NAME_PATTERN.fullmatch(record.daemon_id), f"{field}.daemon_id", "bad"
    )
    for name in ("region", "failure_domain"):
        _require(
            _NAME_PATTERN.fullmatch(getattr(record, name)),
            f"{field}.{name}",
            "bad",
        )
    for name in ("incarnation", "instance"):
        _require(
            getattr(record, name) < INT64_BOUND, f"{field}.{name}", "too large"
        )
    _require(record.state in _STATE_FROM_PROTO, f"{field}.state", "unknown")
    return core.Member(
        daemon_id=record.daemon_id,
        incarnation=record.incarnation,
        instance=record.instance,
        state=_STATE_FROM_PROTO[record.state],
        place=core.Place(
            region=record.region, failure_domain=record.failure_domain
        ),
        caller_address=_parse_address(
            record.caller_address, f"{field}.caller_address"
        ),
        admin_address=_parse_address(
            record.admin_address, f"{field}.admin_address"
        ),
        peer_address=_parse_address(
            record.peer_address, f"{field}.peer_address"
        ),
    )


def _decode_fact(record, field, now_ms):
    for name in ("state", "source"):
        _require(
            _NAME_PATTERN.fullmatch(getattr(record, name)),
            f"{field}.{name}",
            "bad",
        )
    latest = now_ms + _facts.MAX_VERSION_AHEAD_S * 1000
    _require(0 < record.version <= latest, f"{field}.version", "out of bounds")
    return _facts.ServerFact(
        address=str(_parse_address(record.address, f"{field}.address")),
        state=record.state,
        version=record.version,
        source=record.source,
    )


def _check_entry(entry, field):
    _require(
        0 < entry.revision < INT64_BOUND, f"{field}.revision", "out of bounds"
    )
    _require(entry.change_id, f"{field}.change_id", "empty")
    for change in entry.changes:
        _require(
            change.path.startswith("/") and change.WhichOneof("action"),
            f"{field}.changes",
            "path is not absolute or action is missing",
        )


def _parse_address(text, field):
    host, _, port = text.rpartition(":")
    _require(
        _IPV4_PATTERN.fullmatch(host)
        and all(int(part) < 256 for part in host.split("."))
        and port.isascii()
        and port.isdigit()
        and 0 < int(port) < 65536,
        field,
        f"{text[:40]!r} is not an IP address with a port",
    )
    return core.Address(host=host, port=int(port))


def _require(condition, field, problem):
    if not condition:
        raise _MalformedError(MalformedMessage(field=field, problem=problem))
