"""Protocol-neutral records of the HTTP messages that a codec translates.

All times are in seconds.
"""

import dataclasses

from wigeonrouter import core


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """Metadata from the headers of a caller's request.

    Attributes:
      remaining: time until the caller's deadline, None if the request has
        no deadline.
      api_key: the caller's API key, "" without a usable one.
    """

    request_id: str
    remaining: float | None
    api_key: str = dataclasses.field(default="", repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """A backend server's load as it reports it in a response.

    Attributes:
      running: requests that are executing.
      queued: requests in the server's own queue.
      slots: requests that the server executes concurrently.
      slowdown: current service time divided by that on an undisturbed
        server.
    """

    running: int
    queued: int
    slots: int
    slowdown: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseMetadata:
    """Metadata from the headers and status of a backend server's response.

    Attributes:
      instance: instance ID of the server process that responded, or "".
      not_executed: whether the server states that it did not execute the
        request.
      misdirected: whether the address now belongs to another server.
      unfounded_promise: whether the status promises callers that the request
        has not run, although the server does not state it.
      stamped: whether a server has made the response, and not a node.
      load: the server's load, None if it reports none.
      rate_limit: requests per second that the server accepts from all nodes
        together, None if the response names no limit.
      leaving: whether the server states that it is about to end.
      pause: seconds for which the server asks for no further requests, None
        if it does not.
      slow_start: seconds for which the server states that it is still cold, 0
        if it does not, None if the statement cannot be used.
      invalid_statements: names of headers that cannot be used. They then say
        nothing.
      rate_limit_valid: false if the response names a limit that cannot be
        used. It then says nothing about the limit.
    """

    request_id: str
    instance: str
    not_executed: bool
    misdirected: bool
    load: ServerLoad | None
    unfounded_promise: bool = False
    stamped: bool = False
    rate_limit: float | None = None
    rate_limit_valid: bool = True
    leaving: bool = False
    pause: float | None = None
    slow_start: float | None = 0.0
    invalid_statements: tuple[str, ...] = ()

    def may_be_from(self, instance):
        """Return whether an instance may have given the response.

        Two entries may have one address for a while, and an address may be
        used again. What another server says of itself does not count then.
        """
        return not self.misdirected and self.instance in ("", instance)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryQuery:
    """A caller's lookup of the entries that serve a host."""

    host: str
    place: core.Place


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """The reason why the node rejects or fails a request.

    Attributes:
      problem: the problem type, which determines the status.
      retry_after: seconds after which the caller may retry, None if the
        response should not suggest a retry.
      detail: diagnostic text for the log.
    """

    problem: core.ProblemType
    retry_after: float | None = None
    detail: str = ""
