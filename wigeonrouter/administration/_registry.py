"""Registry of the API's actions, and the context passed to an action."""

import dataclasses
import json
import re
import time

import falcon
import gevent
from returns import result

from wigeonrouter import settings
from wigeonrouter.administration import _auth
from wigeonrouter.administration import _problems

_NODE_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
# A computation delays other tasks for at most this time, plus the time for one
# node of the tree.
MAX_TIME_SLICE_S = 0.001
_ACTIONS = {}


class Context:
    """State shared by all actions: the daemon and indexes of its tree."""

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._bootstrap_sha256 = None
        self._tokens = None
        self._matched_services = None
        self._matches = {}

    @property
    def daemon(self):
        """The daemon.Daemon."""
        return self._daemon

    @property
    def replica(self):
        """The daemon's configuration.Replica."""
        return self._daemon.replica

    @property
    def tokens(self):
        """The TokenIndex, rebuilt if a reload changed the bootstrap token."""
        sha256 = self._daemon.settings.bootstrap_token_sha256
        if self._tokens is None or self._bootstrap_sha256 != sha256:
            self._bootstrap_sha256 = sha256
            self._tokens = _auth.TokenIndex(
                replica=self.replica, bootstrap_sha256=sha256
            )
        return self._tokens

    @property
    def matches(self):
        """Dict from match key to service path, see settings.match_keys."""
        services = self.replica.services
        if self._matched_services is not services:
            self._matches = {
                key: path
                for path, service in services.items()
                for _, key in settings.match_keys(service.match)
            }
            self._matched_services = services
        return self._matches


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """An authenticated request to an action.

    Attributes:
      context: the Context.
      identity: the Identity that sent the request.
      req: falcon.Request; its parameter methods raise falcon.HTTPError,
        which the application renders as problem details.
      arrival_revision: revision of the replica when the request arrived.
        Validation lets other tasks run, so the replica may have advanced
        since.
    """

    context: Context
    identity: _auth.Identity
    req: falcon.Request
    arrival_revision: int

    @property
    def path(self):
        """Canonical form of the query parameter ``path``."""
        return self.check_path(self.req.get_param("path", default="/"))

    def check_path(self, path, name="path"):
        """Return the canonical form of a path in the tree.

        Args:
          path: path sent by the operator.
          name: parameter or JSON path that holds it, for the error.
        Raises:
          falcon.HTTPInvalidParam: the path is malformed or too deep.
        """
        names = settings.split_path(path)
        if not path.startswith("/") or not all(
            map(_NODE_NAME.fullmatch, names)
        ):
            raise falcon.HTTPInvalidParam(
                f"allowed: / and names like {_NODE_NAME.pattern}", name
            )
        if len(names) > settings.MAX_TREE_LEVELS:
            raise falcon.HTTPInvalidParam(
                f"allowed: at most {settings.MAX_TREE_LEVELS} names", name
            )
        return settings.join_path(names)

    def revision(self, name, *, default=None):
        """Return a query parameter that holds a revision.

        Args:
          name: name of the parameter.
          default: revision if it is missing; None makes it required.
        """
        return self.req.get_param_as_int(
            name,
            required=default is None,
            default=default,
            min_value=0,
            max_value=2**63 - 1,
        )

    def authorize(self, required_rights):
        """Check that the identity has rights.

        Args:
          required_rights: an iterable of (Role, path).
        Returns:
          Success(None), or Failure(Problem) that names the first missing
          right.
        """
        for role, path in required_rights:
            if not self.identity.has_role(role=role, path=path):
                return result.Failure(
                    _problems.Problem(
                        problem=_problems.FORBIDDEN,
                        detail=f"the token has no role {role.name.lower()} "
                        f"at {path}",
                        members={"path": path, "role": role.name.lower()},
                    )
                )
        return result.Success(None)

    def body(self):
        """Read the body; return Success(bytes) or Failure(Problem)."""
        length = self.req.content_length
        limit = settings.MAX_DOCUMENT_BYTES
        if length is None:
            return result.Failure(
                _problems.Problem(
                    problem=_problems.LENGTH_REQUIRED,
                    detail="send the body with a Content-Length",
                )
            )
        if length > limit:
            return result.Failure(too_large(size=length, limit=limit))
        return result.Success(self.req.bounded_stream.read())

    def document(self):
        """Decode the JSON body; return Success(value) or Failure(Problem)."""
        return self.body().bind(
            lambda body: settings.decode_document(body).alt(invalid_document)
        )


class TimeSlice:
    """Time slice of a long computation that yields to other greenlets.

    The daemon serves callers in the same thread. A computation of a quarter
    of a second without yielding would delay all of their requests.
    """

    def __init__(self, *, clock=time.monotonic):
        self._clock = clock
        self._started = clock()

    def pause(self):
        """Yield if MAX_TIME_SLICE_S have passed since the last yield."""
        if self._clock() - self._started >= MAX_TIME_SLICE_S:
            gevent.sleep(0)
            self._started = self._clock()


def invalid_document(errors):
    """Return the Problem for a non-empty tuple of settings.DocumentError."""
    return _problems.Problem(
        problem=_problems.INVALID_DOCUMENT,
        detail=f"the document has errors, the first at {errors[0].path}",
        members={"errors": [dataclasses.asdict(error) for error in errors]},
    )


def too_large(*, size, limit):
    """Return the Problem for a body or change that is too large.

    Args:
      size: its size in bytes.
      limit: accepted size in bytes.
    """
    return _problems.Problem(
        problem=_problems.TOO_LARGE,
        detail=f"{size} bytes, at most {limit} are accepted",
        members={"limit": limit},
    )


def action(*, method, target):
    """Register the decorated function as the action of a method and target.

    An action takes a Call and returns Success(dict), which is sent as JSON,
    Success(str), which is JSON already, or Failure(Problem).

    Args:
      method: HTTP method.
      target: path of the resource.
    """

    def register(function):
        _ACTIONS.setdefault(target, {})[method] = function
        return function

    return register


def actions():
    """Return the registered actions as a dict {target: {method: action}}."""
    return _ACTIONS


def write_problem(resp, problem):
    """Set the status, headers and body of a falcon response for a Problem."""
    resp.status = problem.problem.status
    resp.content_type = "application/problem+json"
    resp.text = json.dumps(_problems.render(problem))
    if problem.problem is _problems.UNAUTHENTICATED:
        resp.set_header("WWW-Authenticate", "Bearer")
