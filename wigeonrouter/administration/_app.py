"""The falcon application of the administration API and the entry query."""

import functools

import falcon
import logbook
from returns import pipeline

from wigeonrouter.administration import _entries
from wigeonrouter.administration import _problems
from wigeonrouter.administration import _read  # noqa: F401  registers actions
from wigeonrouter.administration import _registry
from wigeonrouter.administration import _write  # noqa: F401  registers actions

_LOG = logbook.Logger(__name__)
_PROBLEMS_BY_STATUS = {
    404: _problems.NO_RESOURCE,
    405: _problems.METHOD_NOT_ALLOWED,
    413: _problems.TOO_LARGE,
}


def build_app(*, daemon):
    """Build the WSGI application.

    Args:
      daemon: the daemon.Daemon that the API reads and changes.
    Returns:
      A falcon.App.
    """
    app = falcon.App()
    context = _registry.Context(daemon=daemon)
    app.add_route("/v1/entries", _entries.Entries(daemon=daemon))
    app.add_route("/healthz", _entries.Health())
    app.add_route("/readyz", _entries.Ready(daemon=daemon))
    app.add_route("/metrics", _entries.Metrics(daemon=daemon))
    for target, by_method in _registry.actions().items():
        app.add_route(target, _Resource(context=context, actions=by_method))
    app.add_error_handler(Exception, _handle_failure)
    app.add_error_handler(falcon.HTTPError, _handle_http_error)
    return app


class _Resource:
    """Falcon resource that serves the actions of one target."""

    def __init__(self, *, context, actions):
        self._context = context
        for method, action in actions.items():
            # falcon looks responders up by these names.
            responder = functools.partial(self._respond, action)
            setattr(self, f"on_{method.lower()}", responder)

    def _respond(self, action, req, resp):
        identity = _identify(self._context.tokens, req)
        if identity is None:
            _registry.write_problem(resp, self._describe_unknown_token())
            return
        returned = action(
            _registry.Call(
                context=self._context,
                identity=identity,
                req=req,
                arrival_revision=self._context.replica.revision,
            )
        )
        if not pipeline.is_successful(returned):
            _registry.write_problem(resp, returned.failure())
            return
        content = returned.unwrap()
        if isinstance(content, str):
            resp.content_type = falcon.MEDIA_JSON
            resp.text = content
        else:
            resp.media = content

    def _describe_unknown_token(self):
        # Without a configuration, the daemon knows only some of the tokens.
        if not self._context.daemon.configured:
            return _problems.Problem(
                problem=_problems.NOT_READY,
                detail="the daemon has not read the tokens yet",
            )
        return _problems.Problem(
            problem=_problems.UNAUTHENTICATED,
            detail="send a known token as Authorization: Bearer",
        )


def _identify(tokens, req):
    scheme, _, token = (req.auth or "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        return None
    return tokens.identify(token)


def _handle_http_error(req, resp, error, params):
    problem = _PROBLEMS_BY_STATUS.get(
        error.status_code, _problems.BAD_PARAMETER
    )
    resp.set_headers(error.headers or {})
    _registry.write_problem(
        resp,
        _problems.Problem(
            problem=problem,
            detail=error.description or f"{req.method} {req.path}"[:200],
        ),
    )


def _handle_failure(req, resp, error, params):
    _LOG.error(
        "request failed",
        exc_info=error,
        extra={"method": req.method, "path": req.path},
    )
    _registry.write_problem(
        resp,
        _problems.Problem(
            problem=_problems.INTERNAL, detail=type(error).__name__
        ),
    )
