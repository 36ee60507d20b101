"""Records that an adapter translates HTTP messages into. Times in seconds."""

import dataclasses

from wigeonrouter import core


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """What a caller's request says of itself.

    Attributes:
      remaining: how long the caller will wait, None where it is not said.
    """

    request_id: str
    remaining: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """A backend server's statement of its load.

    Attributes:
      slowness: how many times longer than usual work takes there now.
    """

    running: int
    queued: int
    slots: int
    slowdown: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseMetadata:
    """What a backend server's response says beside its content.

    Attributes:
      instance: name of the start of the server that answered, or "".
      not_run: whether the server states that it did not run the request.
      misdirected: whether another server has the address now.
    """

    request_id: str
    instance: str
    not_executed: bool
    misdirected: bool
    load: ServerLoad | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryQuery:
    """A caller's question which entries to use for a host."""

    host: str
    place: core.Place


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """A request that ends with a problem.

    Attributes:
      retry_after: seconds after which the caller should return, if at all.
      detail: what was seen, for the log.
    """

    problem: core.ProblemType
    retry_after: float | None = None
    detail: str = ""
