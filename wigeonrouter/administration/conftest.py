"""Fixtures and helpers of the administration tests."""

import random
import types

from falcon import testing
import pytest
from returns import result

from wigeonrouter import administration
from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import selection
from wigeonrouter import settings
from wigeonrouter.schema import settings_pb2

TOKENS = ("root", "a-reader", "a-operator", "a-admin", "b-admin")
_PROBLEMS_BY_URN = {
    f"urn:wigeonrouter:problem:{problem.name}": problem
    for problem in administration.problems.ALL
}
_ADDRESS = core.Address(host="127.0.0.1", port=1)


class FakeDaemon:
    """Fake of the daemon.Daemon interface with a real configuration log."""

    def __init__(self, *, store):
        self.store = store
        self.replica = configuration.Replica()
        self.ready = self.configured = True
        self.rng = random.Random(0)
        self.drained = []
        self.table = types.SimpleNamespace(members=(), alive=())
        self.metrics = types.SimpleNamespace(
            summary=lambda: [{"service": "/a/x"}, {"service": "/b/x"}]
        )
        self.settings = settings.DaemonSettings(
            daemon_id="d",
            place=core.Place(region="r", failure_domain="f"),
            caller_address=_ADDRESS,
            admin_address=_ADDRESS,
            peer_address=_ADDRESS,
            store_address=_ADDRESS,
            bootstrap_token_sha256=administration.hash_token("root"),
        )

    def accept(self, proposal):
        return configuration.accept(
            store=self.store,
            replica=self.replica,
            proposal=proposal,
            now_ms=0,
            policies=selection.policy_names(),
        ).bind(lambda entry: result.Success((entry, ["peer"])))

    def restore(self, root):
        """Commit a tree as the newest revision, without authorisation."""
        self.accept(
            configuration.Proposal(
                change_id=f"restore-{self.replica.revision}",
                author="test",
                base_revision=self.replica.revision,
                changes=(settings_pb2.Change(path="/", node=root),),
            )
        ).unwrap()

    def drain_server(self, *, address, draining, author):
        self.drained.append((str(address), draining, author))


class ApiClient(testing.TestClient):
    """Test client that sends a token and, with changes, a change id."""

    def __init__(self, *, daemon):
        super().__init__(administration.build_app(daemon=daemon))
        self.daemon = daemon
        self._changes = 0

    def send(self, method, target, token="root", body=None, **params):
        if method in ("PUT", "DELETE") or "changes" in target:
            self._changes += 1
            params.setdefault("change_id", f"change-{self._changes}")
        if "rollback" in target:
            params.setdefault("change_id", "rollback-1")
        return self.simulate_request(
            method,
            target,
            params=params,
            json=body,
            headers={"Authorization": f"Bearer {token}"} if token else {},
        )

    def put(self, path, body, token="root", **params):
        return self.send(
            "PUT", "/v1/config", token=token, body=body, path=path, **params
        )


def service(name, port, **server):
    """Return the document of a service with one backend server."""
    return {
        "settings": {
            "match": {"path_prefixes": [f"/{name}"]},
            "groups": {
                "g": {
                    "servers": {
                        "s": {
                            "address": f"127.0.0.1:{port}",
                            "region": "r",
                            "failure_domain": "f",
                            **server,
                        }
                    }
                }
            },
        }
    }


def access(role, token):
    """Return the document of one token."""
    return {"role": role, "sha256": administration.hash_token(token)}


def problem_name(response):
    """Check the problem details of a response; return the type's name."""
    assert response.headers["content-type"] == "application/problem+json"
    problem = _PROBLEMS_BY_URN[response.json["type"]]
    assert response.json["status"] == response.status_code == problem.status
    assert response.json["title"] == problem.title
    assert response.json["detail"]
    return problem.name


@pytest.fixture
def client(store):
    """A client of a daemon with the teams /a and /b."""
    api = ApiClient(daemon=FakeDaemon(store=store))
    team_a = {
        "settings": {
            "access": {
                role: access(role, f"a-{role}")
                for role in ("reader", "operator", "admin")
            }
        },
        "children": {"x": service("a-x", 7001)},
    }
    team_b = {
        "settings": {"access": {"admin": access("admin", "b-admin")}},
        "children": {"x": service("b-x", 7002)},
    }
    root = {"children": {"a": team_a, "b": team_b}}
    assert api.put("/", root).status_code == 200
    return api
