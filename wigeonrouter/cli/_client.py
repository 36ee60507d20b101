"""HTTP client of the command-line tool.

Reads fail over to the next server. Writes fail over only if the connection
could not be made, so that nothing was sent: if the response is lost, the
operator has to decide whether to repeat the write with the same change id.
"""

import dataclasses
import http.client
import json
from urllib import parse

from returns import result


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unreachable:
    """No server could be reached; no write was sent.

    Attributes:
      attempts: tuple of (server, error text).
    """

    attempts: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReplyLost:
    """A request was sent, but no complete response was received.

    Attributes:
      server: address of the server.
      detail: error text.
    """

    server: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProblemResponse:
    """A server responded with problem details.

    Attributes:
      server: address of the server.
      status: HTTP status code.
      problem: decoded problem details (RFC 9457).
    """

    server: str
    status: int
    problem: dict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Client:
    """Sends requests to daemons with a bearer token.

    Attributes:
      servers: tuple of ``host:port``, tried in this order.
      token: bearer token, empty for none.
      timeout: seconds for connecting and for each read from the socket.
    """

    servers: tuple[str, ...]
    token: str
    timeout: float

    def read(self, target, *, body=None, **params):
        """Send a read-only request, trying one server after another.

        Responses with a status of 500 and above count as failures of the
        server, after which the next one is tried.

        Args:
          target: path of the resource.
          body: JSON document as bytes, sent as POST; GET if None.
          params: query parameters; those that are None are left out.
        Returns:
          Success(dict), or Failure(Unreachable or ProblemResponse).
        """
        method = "GET" if body is None else "POST"
        attempts, problem_response = [], None
        for server in self.servers:
            outcome = self._send(server, method, target, params, body)
            if isinstance(outcome, dict):
                return result.Success(outcome)
            if isinstance(outcome, ProblemResponse):
                if outcome.status < 500:
                    return result.Failure(outcome)
                problem_response = outcome
            else:
                attempts.append((server, outcome.detail))
        return result.Failure(
            problem_response or Unreachable(attempts=tuple(attempts))
        )

    def write(self, method, target, *, body=None, **params):
        """Send a request that changes state, at most once.

        Args:
          method: HTTP method.
          target: path of the resource.
          body: JSON document as bytes, or None.
          params: query parameters; those that are None are left out.
        Returns:
          Success(dict), or Failure of Unreachable, ProblemResponse or
          ReplyLost.
        """
        attempts = []
        for server in self.servers:
            outcome = self._send(server, method, target, params, body)
            if isinstance(outcome, dict):
                return result.Success(outcome)
            if not isinstance(outcome, _NotSent):
                return result.Failure(outcome)
            attempts.append((server, outcome.detail))
        return result.Failure(Unreachable(attempts=tuple(attempts)))

    def _send(self, server, method, target, params, body):
        """Send a request to one server.

        Returns:
          The decoded response as a dict, ProblemResponse, ReplyLost or
          _NotSent.
        """
        host, _, port = server.rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=self.timeout
        )
        query = parse.urlencode(
            {key: value for key, value in params.items() if value is not None}
        )
        headers = {"Accept": "application/json"}
        if self.token:
            headers["Authorization"] = f"Bearer {self.token}"
        try:
            try:
                connection.connect()
            except OSError as error:
                return _NotSent(detail=str(error))
            try:
                connection.request(
                    method, f"{target}?{query}", body=body, headers=headers
                )
                response = connection.getresponse()
                media = json.loads(response.read())
            except (OSError, http.client.HTTPException, ValueError) as error:
                detail = str(error) or type(error).__name__
                return ReplyLost(server=server, detail=detail)
        finally:
            connection.close()
        if not isinstance(media, dict):
            return ReplyLost(server=server, detail="no JSON object received")
        if response.status == 200:
            return media
        return ProblemResponse(
            server=server, status=response.status, problem=media
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _NotSent:
    """The connection could not be made; nothing was sent."""

    detail: str
