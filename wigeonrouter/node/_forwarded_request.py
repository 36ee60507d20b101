"""How one node passes a request on to another one.

The request is sent over HTTP as its caller sent it, with one header that says
what the node knows of it. A node that cannot serve it declines it: the
response then has another header, and the request has not run there.
"""

import base64
import binascii
import dataclasses

from google.protobuf import message as protobuf_message

from wigeonrouter import http1
from wigeonrouter.schema import node_pb2

_ORIGIN = b"wigeonrouter-origin"
# In place of the header above where the configuration has tenants. A node of
# an earlier build would pass the API key on to a server; it does not know this
# header and rejects the request, even if an entry of the store or the roster
# still has what a newer build announced for its host.
_KEYED_ORIGIN = b"wigeonrouter-keyed-origin"
_DECLINED = b"wigeonrouter-declined"
_NOT_FORWARDED = http1.HOP_BY_HOP | {
    b"content-length",
    b"expect",
    _ORIGIN,
    _KEYED_ORIGIN,
}
_MICROSECONDS = 1_000_000
# Status of all problems for which a node declines a request.
_DECLINED_STATUS = 503


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Origin:
    """What a node says of a request that it passes on.

    Attributes:
      host: host of the node that has it from the caller.
      service: service that was selected for it.
      attempts: attempts that have reached a server.
      may_have_run: whether any of them may have begun to execute it.
      time_to_target: seconds until its target time, negative after it.
      time_to_deadline: seconds until its deadline.
    """

    host: str
    service: str
    attempts: int
    may_have_run: bool
    time_to_target: float
    time_to_deadline: float


def render(request, origin, key_headers=None):
    """Return the bytes of a request for another node.

    Args:
      request: HttpRequest of the caller.
      origin: Origin.
      key_headers: headers with its API key, which the other node checks; None
        if the deployment has no tenants.
    """
    message = node_pb2.ForwardedRequest(
        host=origin.host,
        service=origin.service,
        attempts=origin.attempts,
        may_have_run=origin.may_have_run,
        microseconds_to_target=round(origin.time_to_target * _MICROSECONDS),
        microseconds_to_deadline=round(
            origin.time_to_deadline * _MICROSECONDS
        ),
    )
    encoded = base64.b64encode(message.SerializeToString())
    not_forwarded = _NOT_FORWARDED
    added = ((_ORIGIN, encoded),)
    if key_headers is not None:
        # Added again, since Connection may have named them.
        not_forwarded = not_forwarded | {
            name.lower() for name, _ in key_headers
        }
        added = ((_KEYED_ORIGIN, encoded), *key_headers)
    return http1.render_forwarded(
        request=request, not_forwarded=not_forwarded, added=added
    )


def read(request):
    """Return a request as the caller sent it, and its Origin.

    Args:
      request: HttpRequest of another node.
    Returns:
      Pair of HttpRequest and Origin, the latter None if it is missing or
      malformed.
    """
    try:
        message = node_pb2.ForwardedRequest.FromString(
            base64.b64decode(
                request.header(_KEYED_ORIGIN) or request.header(_ORIGIN),
                validate=True,
            )
        )
    except (binascii.Error, protobuf_message.DecodeError):
        return request, None
    if not message.host:
        return request, None
    headers = tuple(
        header
        for header in request.headers
        if header[0] not in (_ORIGIN, _KEYED_ORIGIN)
    )
    origin = Origin(
        host=message.host,
        service=message.service,
        attempts=message.attempts,
        may_have_run=message.may_have_run,
        time_to_target=message.microseconds_to_target / _MICROSECONDS,
        time_to_deadline=message.microseconds_to_deadline / _MICROSECONDS,
    )
    return (
        dataclasses.replace(
            request, headers=headers, fields=http1.index_headers(headers)
        ),
        origin,
    )


def decline(response):
    """Return a response that says that this node cannot serve a request."""
    return dataclasses.replace(
        response,
        headers=(*response.headers, (_DECLINED, b"1")),
        fields=None,
    )


def is_declined(response):
    """Return whether the node that responded cannot serve the request.

    A backend server may send the header too. With this status, a node passes
    its response on only if it states that the request has not run.
    """
    return response.status == _DECLINED_STATUS and bool(
        response.header(_DECLINED)
    )
