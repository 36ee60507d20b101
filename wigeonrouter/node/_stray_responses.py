"""Skips late responses to what a connection was used for before."""

from wigeonrouter import core
from wigeonrouter import http1

# More responses to earlier requests than this are a fault of the server.
_MAX_STRAY_RESPONSES = 4


def read_own(reader, *, method, codec, is_own, on_stray):
    """Read responses until the own one.

    Args:
      reader: http1.ResponseReader of the connection.
      method: method of the request.
      codec: the adapter's HTTP codec.
      is_own: function of the messages.ResponseMetadata of a response and of
        the number of responses before it.
      on_stray: called with the messages.ResponseMetadata of each response
        that is skipped, before the next one is read.
    Returns:
      HttpResponse, its messages.ResponseMetadata, and the number of responses
      that were skipped.
    Raises:
      http1.MalformedMessage: a response is invalid, or there are too many
        responses to other requests.
    """
    for skipped in range(_MAX_STRAY_RESPONSES + 1):
        response = reader.read(method)
        metadata = codec.read_response(response)
        if is_own(metadata, skipped):
            return response, metadata, skipped
        on_stray(metadata)
    raise http1.MalformedMessage(
        core.problems.ANSWER_INVALID, "responses of other requests"
    )
