"""Problem types (RFC 9457) of the administration API."""

import dataclasses

from wigeonrouter import core

URN_PREFIX = "urn:wigeonrouter:problem:"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProblemType:
    """A documented type of problem.

    Attributes:
      name: last part of the problem type URN; its meaning never changes.
      title: summary of the type, the same for each occurrence.
      status: HTTP status code of the response.
    """

    name: str
    title: str
    status: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One occurrence of a problem.

    Attributes:
      problem: its type.
      detail: explanation of this occurrence.
      members: additional members of the problem details, such as revisions.
    """

    problem: ProblemType
    detail: str
    members: dict = dataclasses.field(default_factory=dict)


def _define(name, status, title):
    return ProblemType(name=name, title=title, status=status)


BAD_PARAMETER = _define("bad-parameter", 400, "A parameter is not accepted")
UNAUTHENTICATED = _define("unauthenticated", 401, "A valid token is needed")
FORBIDDEN = _define("forbidden", 403, "The token lacks the role")
NO_RESOURCE = _define("no-resource", 404, "There is no such resource")
NO_NODE = _define("no-node", 404, "There is no such node")
NO_SERVICE = _define("no-service", 404, "There is no such service")
NO_BACKEND_SERVER = _define(
    "no-backend-server", 404, "No service has this backend server"
)
METHOD_NOT_ALLOWED = _define(
    "method-not-allowed", 405, "The resource does not have this method"
)
CONFLICT = _define("conflict", 409, "Another change came first")
CHANGE_ID_REUSED = _define(
    "change-id-reused", 409, "Another change has this change id"
)
REVISION_NOT_RETAINED = _define(
    "revision-not-retained", 410, "The revision is not retained"
)
LENGTH_REQUIRED = _define(
    "length-required", 411, "The body needs a Content-Length"
)
TOO_LARGE = _define("too-large", 413, "The body is too large")
INVALID_DOCUMENT = _define(
    "invalid-document", 422, "The document is not accepted"
)
INTERNAL = _define(
    core.problems.INTERNAL.name,
    core.problems.INTERNAL.status,
    core.problems.INTERNAL.title,
)
UNDETERMINED = _define(
    "undetermined", 502, "The change may or may not have been accepted"
)
NOT_READY = _define(
    core.problems.NOT_READY.name,
    core.problems.NOT_READY.status,
    core.problems.NOT_READY.title,
)
STORE_UNAVAILABLE = _define(
    "store-unavailable", 503, "The store is unavailable; nothing was written"
)

ALL = tuple(
    value for value in list(globals().values()) if type(value) is ProblemType
)


def render(problem):
    """Return the problem details (RFC 9457) of a Problem as a dict."""
    return {
        "type": f"{URN_PREFIX}{problem.problem.name}",
        "title": problem.problem.title,
        "status": problem.problem.status,
        "detail": problem.detail,
        **problem.members,
    }
