"""Registry of the actions of the API, and what an action gets."""

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
# Longest time for which a computation keeps other tasks waiting, give or
# take one node of the tree.
MAX_TURN_S = 0.001
_ACTIONS = {}


class Context:
    """What actions share: the daemon and the indexes built from its tree."""

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._bootstrap_sha256 = None
        self._tokens = None
        self._matches_of = None
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
        """The TokenIndex; a reload can change the bootstrap token."""
        wanted = self._daemon.settings.bootstrap_token_sha256
        if self._tokens is None or self._bootstrap_sha256 != wanted:
            self._bootstrap_sha256 = wanted
            self._tokens = _auth.TokenIndex(
                replica=self.replica, bootstrap_sha256=wanted
            )
        return self._tokens

    @property
    def matches(self):
        """Dict from match key to service path, see settings.match_keys."""
        services = self.replica.services
        if self._matches_of is not services:
            self._matches = {
                key: path
                for path, service in services.items()
                for _, key in settings.match_keys(service.match)
            }
            self._matches_of = services
        return self._matches


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One authenticated request.

    Attributes:
      seen: revision of the replica when the request arrived. Checks may let
        other tasks run, after which the replica may have advanced.
      req: falcon.Request; its parameter methods raise falcon.HTTPError,
        which the application renders as problem details.
    """

    context: Context
    identity: _auth.Identity
    req: falcon.Request
    seen: int

    @property
    def path(self):
        """Canonical form of the parameter ``path``."""
        return self.check_path(self.req.get_param("path", default="/"))

    def check_path(self, path, name="path"):
        """Return the canonical form of a path in the tree.

        Raises:
          falcon.HTTPInvalidParam: it is not the path of a node.
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
        """Return a parameter that holds a revision."""
        return self.req.get_param_as_int(
            name,
            required=default is None,
            default=default,
            min_value=0,
            max_value=2**63 - 1,
        )

    def authorize(self, needed):
        """Check rights.

        Args:
          needed: an iterable of (Role, path).
        Returns:
          Success(None), or Failure(Problem) naming the missing right.
        """
        for role, path in needed:
            if not self.identity.may(role=role, path=path):
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
        """Return Success(bytes of the body), or Failure(Problem)."""
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
        """Return Success(decoded JSON body), or Failure(Problem)."""
        return self.body().bind(
            lambda body: settings.decode_document(body).alt(invalid_document)
        )


class Pacer:
    """Lets other tasks run during long computations.

    The daemon serves callers in the same thread; a computation of a quarter
    of a second would delay all of their requests.
    """

    def __init__(self, *, clock=time.monotonic):
        self._clock = clock
        self._resumed = clock()

    def pause(self):
        """Let other tasks run where MAX_TURN_S have passed."""
        if self._clock() - self._resumed >= MAX_TURN_S:
            gevent.sleep(0)
            self._resumed = self._clock()


def invalid_document(errors):
    """Return the Problem of a tuple of settings.DocumentError."""
    return _problems.Problem(
        problem=_problems.INVALID_DOCUMENT,
        detail=f"the document has errors, the first at {errors[0].path}",
        members={"errors": [dataclasses.asdict(error) for error in errors]},
    )


def too_large(*, size, limit):
    """Return the Problem of a body or change that is too large."""
    return _problems.Problem(
        problem=_problems.TOO_LARGE,
        detail=f"{size} bytes, at most {limit} are accepted",
        members={"limit": limit},
    )


def action(*, method, target):
    """Register the decorated function as an action.

    An action is called with a Call and returns Success(dict), which becomes
    the JSON reply, Success(JSON text), or Failure(Problem).
    """

    def register(function):
        _ACTIONS.setdefault(target, {})[method] = function
        return function

    return register


def actions():
    """Return a dict from target to a dict from method to action."""
    return _ACTIONS


def write_problem(resp, problem):
    """Make a falcon response the problem details of a Problem."""
    resp.status = problem.problem.status
    resp.content_type = "application/problem+json"
    resp.text = json.dumps(_problems.render(problem))
    if problem.problem is _problems.UNAUTHENTICATED:
        resp.set_header("WWW-Authenticate", "Bearer")
