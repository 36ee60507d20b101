"""Sends requests of the command-line tool to daemons.

Reads are tried at one server after another. A write goes to the next server
only while no byte of it was sent: where the reply is lost, the operator has
to decide whether to repeat it with the same change id.
"""

import dataclasses
import http.client
import json
from urllib import parse

from returns import result


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unreachable:
    """No server could be reached; nothing was done.

    Attributes:
      attempts: tuple of (server, what went wrong).
    """

    attempts: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReplyLost:
    """A write was sent and its reply was not received whole."""

    server: str
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A server answered with problem details."""

    server: str
    status: int
    problem: dict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Client:
    """Where and as whom to send requests.

    Attributes:
      servers: tuple of ``host:port``.
      token: bearer token, possibly empty.
      timeout: seconds for connecting and for each read.
    """

    servers: tuple[str, ...]
    token: str
    timeout: float

    def read(self, target, *, body=None, **params):
        """Send a request that changes nothing.

        Args:
          target: path of the resource.
          body: JSON document as bytes; sent as POST where it is given.
          params: query parameters; those that are None are left out.
        Returns:
          Success(dict), or Failure of Unreachable or Refused.
        """
        method = "GET" if body is None else "POST"
        attempts, refused = [], None
        for server in self.servers:
            answer = self._send(server, method, target, params, body)
            if isinstance(answer, dict):
                return result.Success(answer)
            if isinstance(answer, Refused):
                if answer.status < 500:
                    return result.Failure(answer)
                refused = answer
            else:
                attempts.append((server, answer.detail))
        return result.Failure(refused or Unreachable(attempts=tuple(attempts)))

    def write(self, method, target, *, body=None, **params):
        """Send a request that changes something; see read.

        Returns:
          Success(dict), or Failure of Unreachable, Refused or ReplyLost.
        """
        attempts = []
        for server in self.servers:
            answer = self._send(server, method, target, params, body)
            if isinstance(answer, dict):
                return result.Success(answer)
            if not isinstance(answer, _NotSent):
                return result.Failure(answer)
            attempts.append((server, answer.detail))
        return result.Failure(Unreachable(attempts=tuple(attempts)))

    def _send(self, server, method, target, params, body):
        """Return a dict, Refused, ReplyLost or _NotSent."""
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
        return Refused(server=server, status=response.status, problem=media)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _NotSent:
    """The connection failed before a byte was sent."""

    detail: str
