"""The administration API and the entry query, as a falcon application."""

import json
import time

import falcon
from google.protobuf import json_format
from returns import pipeline

from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import entries
from wigeonrouter import observability
from wigeonrouter import settings
from wigeonrouter.administration import _auth
from wigeonrouter.schema import settings_pb2


def build_app(*, daemon):
    """Build the WSGI application.

    Args:
      daemon: a Daemon; see wigeonrouter.daemon.
    Returns:
      A falcon.App.
    """
    app = falcon.App()
    app.add_route("/v1/entries", _Entries(daemon=daemon))
    app.add_route("/v1/config", _Config(daemon=daemon))
    app.add_route("/v1/status", _Status(daemon=daemon))
    app.add_route("/healthz", _Health())
    app.add_route("/readyz", _Ready(daemon=daemon))
    app.add_route("/metrics", _Metrics(daemon=daemon))
    return app


class _Health:
    def on_get(self, req, resp):
        resp.media = {"status": "ok"}


class _Ready:
    def __init__(self, *, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        resp.media = {"ready": self._daemon.ready}
        if not self._daemon.ready:
            resp.status = falcon.HTTP_503


class _Metrics:
    def __init__(self, *, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        resp.content_type = observability.METRICS_CONTENT_TYPE
        resp.data = self._daemon.expose_metrics()


class _Entries:
    """Tells callers which addresses to use."""

    def __init__(self, *, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        if not self._daemon.configured:
            _problem(resp, 503, "not-ready", "ask another daemon")
            return
        name = req.get_param("service")
        service = self._daemon.replica.services.get(name) if name else None
        if name and service is None:
            _problem(resp, 404, "no-service", f"no service {name}")
            return
        own = self._daemon.settings.place
        place = core.Place(
            region=req.get_param("region", default=own.region),
            failure_domain=req.get_param(
                "failure_domain", default=own.failure_domain
            ),
        )
        chosen = entries.choose_entries(
            service=service,
            place=place,
            members=self._daemon.table.alive,
            rng=self._daemon.rng,
        )
        resp.media = {
            "ttl_ms": int(self._daemon.settings.entry_ttl * 1000),
            "entries": [
                {
                    "address": str(entry.address),
                    "request_id_prefix": entry.request_id_prefix,
                    "region": entry.place.region,
                    "failure_domain": entry.place.failure_domain,
                    "home": entry.home,
                }
                for entry in chosen
            ],
        }


class _Config:
    """Shows and changes the settings tree."""

    def __init__(self, *, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        path = req.get_param("path", default="/")
        if (
            _authorize(self._daemon, req, resp, _auth.Role.READER, path)
            is None
        ):
            return
        node = settings.find_node(root=self._daemon.replica.root, path=path)
        if node is None:
            _problem(resp, 404, "no-node", f"no node at {path}")
            return
        resp.media = {
            "revision": self._daemon.replica.revision,
            "path": path,
            "node": json_format.MessageToDict(
                node, preserving_proto_field_name=True
            ),
        }

    def on_put(self, req, resp):
        path = req.get_param("path", default="/")
        identity = _authorize(
            self._daemon, req, resp, _auth.Role.OPERATOR, path
        )
        if identity is None:
            return
        parsed = settings.parse_document(
            text=req.bounded_stream.read(), message_type=settings_pb2.Node
        )
        if not pipeline.is_successful(parsed):
            _problem(
                resp,
                422,
                "invalid-document",
                "the document is not accepted",
                errors=[str(error) for error in parsed.failure()],
            )
            return
        proposal = configuration.Proposal(
            change_id=req.get_param("change_id", required=True),
            author=identity.name,
            base_revision=req.get_param_as_int(
                "base", default=self._daemon.replica.revision
            ),
            comment=req.get_param("comment", default=""),
            changes=(settings_pb2.Change(path=path, node=parsed.unwrap()),),
        )
        self._accept(proposal, resp)

    def _accept(self, proposal, resp):
        accepted = self._daemon.accept(proposal)
        if pipeline.is_successful(accepted):
            entry, acknowledged = accepted.unwrap()
            resp.media = {
                "revision": entry.revision,
                "change_id": entry.change_id,
                "acknowledged_by": acknowledged,
            }
            return
        failure = accepted.failure()
        if isinstance(failure, configuration.Conflict):
            _problem(
                resp,
                409,
                "conflict",
                f"{failure.path} was changed by revision "
                f"{failure.current_revision}",
                base_revision=failure.base_revision,
                current_revision=failure.current_revision,
            )
        elif isinstance(failure, configuration.Undetermined):
            _problem(
                resp,
                502,
                "undetermined",
                "the change may have been accepted; repeat it with the same "
                "change id",
                change_id=failure.change_id,
            )
        elif isinstance(failure, configuration.TooLarge):
            _problem(resp, 413, "too-large", f"at most {failure.limit} bytes")
        else:
            _problem(resp, 503, "store-unavailable", failure.detail)


class _Status:
    def __init__(self, *, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        if _authorize(self._daemon, req, resp, _auth.Role.READER, "/") is None:
            return
        resp.media = {
            "daemon_id": self._daemon.settings.daemon_id,
            "revision": self._daemon.replica.revision,
            "ready": self._daemon.ready,
            "members": [
                {
                    "daemon_id": member.daemon_id,
                    "state": member.state.value,
                    "region": member.place.region,
                    "failure_domain": member.place.failure_domain,
                    "caller_address": str(member.caller_address),
                }
                for member in self._daemon.table.members
            ],
            "requests": self._daemon.metrics.summary(),
        }


def _authorize(daemon, req, resp, role, path):
    scheme, _, token = (req.auth or "").partition(" ")
    identity = None
    if scheme.lower() == "bearer" and token:
        identity = _auth.identify(
            token=token,
            root=daemon.replica.root,
            bootstrap_sha256=daemon.settings.bootstrap_token_sha256,
        )
    if identity is None:
        _problem(resp, 401, "unauthenticated", "a valid token is needed")
        return None
    if not identity.may(role=role, path=path):
        _problem(
            resp,
            403,
            "forbidden",
            f"the token has no role {role.name.lower()} at {path}",
        )
        return None
    return identity


def _problem(resp, status, name, detail, **members):
    resp.status = status
    resp.content_type = "application/problem+json"
    resp.text = json.dumps(
        {
            "type": f"urn:wigeonrouter:problem:{name}",
            "title": name.replace("-", " "),
            "status": status,
            "detail": detail,
            **members,
        }
    )


def now_ms():
    """Return the time in milliseconds since the epoch."""
    return int(time.time() * 1000)
