"""Guards against requests that are wrongly accepted or rejected."""

import dataclasses

import gevent
import pytest

from wigeonrouter import administration
from wigeonrouter import settings
from wigeonrouter import store as store_api
from wigeonrouter.administration import conftest
from wigeonrouter.schema import store_pb2

_LIMIT = {"settings": {"limits": {"max_queue": 3}}}


@pytest.mark.parametrize(
    ("token", "method", "target", "path", "status"),
    [
        (None, "GET", "config", "/a", 401),
        ("wrong", "GET", "config", "/a", 401),
        ("a-reader", "GET", "config", "/a/x", 200),
        ("a-reader", "GET", "config", "/", 403),
        ("a-reader", "GET", "config", "/b/x", 403),
        ("a-reader", "GET", "config/effective", "/b/x", 403),
        ("a-reader", "GET", "config/history", "/b", 403),
        ("a-reader", "GET", "config/diff", "/b", 403),
        ("a-reader", "DELETE", "config", "/a/x", 403),
        ("a-operator", "DELETE", "config", "/a/x", 200),
        ("a-operator", "DELETE", "config", "/a", 403),
        ("a-admin", "DELETE", "config", "/b/x", 403),
        ("a-operator", "POST", "config/rollback", "/b", 403),
        ("a-operator", "GET", "status", "/", 200),
    ],
)
def test_rights_apply_to_their_subtree_only(
    client, token, method, target, path, status
):
    params = {"from": 0} if target == "config/diff" else {}
    if target == "config/rollback":
        params["revision"] = 0
    response = client.send(
        method, f"/v1/{target}", token=token, path=path, **params
    )
    assert response.status_code == status
    if status != 200:
        assert conftest.problem_name(response) in (
            "unauthenticated",
            "forbidden",
        )


@pytest.mark.parametrize(
    ("token", "path", "document", "status"),
    [
        ("a-operator", "/a/x", _LIMIT, 200),
        ("a-reader", "/a/x", _LIMIT, 403),
        ("b-admin", "/a/x", _LIMIT, 403),
        # Only the root has rights at a parent that does not exist yet.
        ("a-admin", "/c/x", _LIMIT, 403),
        # Omitting access keeps it; changing it requires the role admin.
        ("a-operator", "/a", {"children": {"x": {}}}, 200),
        ("a-operator", "/a", {"settings": {"access": {}}}, 403),
        ("a-admin", "/a", {"settings": {"access": {}}}, 200),
        (
            "a-operator",
            "/a/x",
            {
                "children": {
                    "y": {
                        "settings": {
                            "access": {"me": conftest.access("admin", "me")}
                        }
                    }
                }
            },
            403,
        ),
    ],
)
def test_a_change_needs_rights_on_all_that_it_replaces(
    client, token, path, document, status
):
    response = client.put(path, document, token=token)
    assert response.status_code == status, response.json


def test_nobody_sees_the_token_hashes_of_a_subtree_without_its_admin_role(
    client,
):
    targets = ("config", "config/effective", "config/history", "config/diff")
    for target in targets:
        for token in ("a-reader", "a-operator"):
            params = {"from": 0} if target == "config/diff" else {}
            response = client.send(
                "GET", f"/v1/{target}", token=token, path="/a", **params
            )
            assert response.status_code == 200
            assert administration.hash_token("a-admin") not in response.text
    response = client.send("GET", "/v1/config", token="a-admin", path="/a")
    assert administration.hash_token("a-operator") in response.text


def test_writing_back_an_unmodified_node_changes_nothing(client):
    shown = client.send("GET", "/v1/config", token="a-operator", path="/a")
    differences = client.send(
        "POST",
        "/v1/config/diff",
        token="a-operator",
        path="/a",
        body=shown.json["node"],
    )
    assert differences.json["differences"] == []
    before = client.daemon.replica.snapshot().root
    assert (
        client.put("/a", shown.json["node"], token="a-operator").status_code
        == 200
    )
    assert client.daemon.replica.root == before


def test_a_revoked_token_is_rejected_at_once_and_not_restored_by_rollback(
    client,
):
    keep = {"settings": {"access": {"admin": conftest.access("admin", "a2")}}}
    keep["children"] = {"x": {}}
    assert client.put("/a", keep, token="a-admin").json["revision"] == 2
    rejected = client.send("GET", "/v1/config", token="a-operator", path="/a")
    assert conftest.problem_name(rejected) == "unauthenticated"
    rolled_back = client.send(
        "POST", "/v1/config/rollback", token="a2", path="/a", revision=1
    )
    assert rolled_back.json["revision"] == 3
    rejected = client.send("GET", "/v1/config", token="a-operator", path="/a")
    assert conftest.problem_name(rejected) == "unauthenticated"
    assert "/a/x" in client.daemon.replica.services


def test_a_stale_base_gives_a_conflict_with_both_revisions(client):
    assert client.put("/a/x", _LIMIT, base=1).json["revision"] == 2
    response = client.put("/a/x", _LIMIT, base=1)
    assert conftest.problem_name(response) == "conflict"
    assert response.json["base_revision"] == 1
    assert response.json["current_revision"] == 2


def test_a_change_id_is_applied_once_and_belongs_to_one_change(client):
    first = client.put("/a/x", _LIMIT, token="a-operator", change_id="one")
    again = client.put("/a/x", _LIMIT, token="a-operator", change_id="one")
    assert first.json["revision"] == again.json["revision"] == 2
    other = client.put("/a/x", {}, token="a-operator", change_id="one")
    assert conftest.problem_name(other) == "change-id-reused"
    other = client.put("/a/x", _LIMIT, token="a-admin", change_id="one")
    assert conftest.problem_name(other) == "change-id-reused"


def test_an_undetermined_change_may_be_repeated(
    client, store_standin, monkeypatch
):
    # The write takes effect; its response and the read that follows fail.
    def lose_reply_and_go_down(**kwargs):
        swap(**kwargs)
        store_standin.inject(store_pb2.FaultCall(down=True))
        raise store_api.StoreReplyLost()

    swap = client.daemon.store.compare_and_swap
    monkeypatch.setattr(
        client.daemon.store, "compare_and_swap", lose_reply_and_go_down
    )
    response = client.put("/a/x", _LIMIT, change_id="one")
    assert conftest.problem_name(response) == "undetermined"
    assert response.json["change_id"] == "one"
    monkeypatch.undo()
    response = client.put("/a/x", _LIMIT, change_id="two")
    assert conftest.problem_name(response) == "store-unavailable"
    store_standin.inject(store_pb2.FaultCall(down=False))
    assert client.put("/a/x", _LIMIT, change_id="one").json["revision"] == 2


def test_several_changes_make_one_revision(client):
    changes = [
        {"path": "/a/x", "settings": _LIMIT["settings"]},
        {"path": "/a/y", "node": conftest.service("a-y", 7003)},
        {"path": "/b/x", "remove": True},
    ]
    response = client.send(
        "POST", "/v1/config/changes", body={"changes": changes}
    )
    assert response.json["revision"] == 2
    assert set(client.daemon.replica.services) == {"/a/y"}
    denied = client.send(
        "POST",
        "/v1/config/changes",
        token="a-admin",
        body={"changes": [changes[0], {"path": "/b", "remove": True}]},
    )
    assert conftest.problem_name(denied) == "forbidden"


@pytest.mark.parametrize(
    ("path", "document", "json_path"),
    [
        (
            "/a/z",
            conftest.service("b-x", 7003),
            "$.settings.match.path_prefixes",
        ),
        (
            "/a",
            {"settings": {"routing": {"policy": "best"}}},
            "$.settings.routing.policy",
        ),
        (
            "/" + "/".join("a" * 32),
            {"children": {"b": {}}},
            "$.children.b",
        ),
    ],
)
def test_errors_that_need_the_tree_have_a_json_path(
    client, path, document, json_path
):
    for method, target in (
        ("PUT", "/v1/config"),
        ("POST", "/v1/config/validate"),
    ):
        response = client.send(method, target, path=path, body=document)
        assert conftest.problem_name(response) == "invalid-document"
        assert [error["path"] for error in response.json["errors"]] == [
            json_path
        ]


def test_diff_and_rollback_between_retained_revisions(client):
    client.put("/a/x", _LIMIT)
    response = client.send(
        "GET", "/v1/config/diff", path="/a/x", **{"from": 1, "to": 2}
    )
    fields = {d["field"]: d for d in response.json["differences"]}
    assert fields["limits.max_queue"]["before"] is None
    assert fields["limits.max_queue"]["after"] == 3
    rolled_back = client.send(
        "POST", "/v1/config/rollback", path="/a/x", revision=1
    )
    assert rolled_back.json["revision"] == 3
    response = client.send(
        "GET", "/v1/config/diff", path="/", **{"from": 1, "to": 3}
    )
    assert response.json["differences"] == []
    for revision in (4, 2**62):
        denied = client.send(
            "POST", "/v1/config/rollback", path="/", revision=revision
        )
        assert conftest.problem_name(denied) == "revision-not-retained"


def test_effective_settings_name_the_origin(client):
    client.put("/", {"limits": {"max_queue": 9}}, only="settings")
    response = client.send("GET", "/v1/config/effective", path="/a/x").json
    assert response["settings"]["limits"]["max_queue"] == 9
    assert response["origins"]["limits.max_queue"] == "/"
    assert response["origins"]["match.path_prefixes"] == "/a/x"


def test_drain_needs_no_store_but_a_right_at_each_service(
    client, store_standin
):
    store_standin.inject(store_pb2.FaultCall(down=True))
    target = "/v1/drain"
    address = "127.0.0.1:7001"
    denied = client.send("POST", target, token="b-admin", address=address)
    assert conftest.problem_name(denied) == "forbidden"
    unknown = client.send("POST", target, address="127.0.0.1:9")
    assert conftest.problem_name(unknown) == "no-backend-server"
    response = client.send("POST", target, token="a-operator", address=address)
    assert response.json["services"] == ["/a/x"]
    assert client.daemon.drained == [(address, True, "/a#operator")]


def test_a_reload_replaces_the_bootstrap_token(client):
    client.daemon.settings = dataclasses.replace(
        client.daemon.settings,
        bootstrap_token_sha256=administration.hash_token("new-root"),
    )
    assert client.send("GET", "/v1/config", token="root").status_code == 401
    response = client.send("GET", "/v1/config", token="new-root")
    assert response.status_code == 200


def test_status_shows_the_traffic_of_readable_services_only(client):
    response = client.send("GET", "/v1/status", token="a-reader")
    assert [row["service"] for row in response.json["requests"]] == ["/a/x"]


def test_only_one_of_two_concurrent_changes_is_accepted(client):
    tasks = [
        gevent.spawn(client.put, "/a/x", _LIMIT, change_id=name, base=1)
        for name in ("one", "two")
    ]
    gevent.joinall(tasks, raise_error=True)
    assert sorted(task.get().status_code for task in tasks) == [200, 409]


def test_a_daemon_that_is_not_ready_does_not_report_tokens_as_unknown(client):
    client.daemon.ready = client.daemon.configured = False
    response = client.send("GET", "/v1/status", token="new")
    assert conftest.problem_name(response) == "not-ready"


def test_tokens_revoked_during_a_long_check_stay_revoked(client, monkeypatch):
    """Guards against a change that restores tokens revoked meanwhile.

    The tokens that a change keeps are copied before the check of the rules,
    during which another change may revoke them.
    """
    revoke = {"settings": {"access": {}}, "children": {"x": {}}}

    def revoke_meanwhile(**kwargs):
        monkeypatch.undo()
        assert client.put("/a", revoke).status_code == 200
        return ()

    monkeypatch.setattr(settings, "check_rules", revoke_meanwhile)
    response = client.put("/a", {"children": {"x": {}}}, token="a-admin")
    assert conftest.problem_name(response) in ("conflict", "forbidden")
    assert not client.daemon.replica.root.children["a"].settings.access


def test_only_one_of_two_concurrent_services_with_one_match_is_accepted(
    client, monkeypatch
):
    """Guards against two services with one match, created concurrently.

    Each is checked before the other is committed.
    """
    rival = conftest.service("same", 7005)

    def create_rival_meanwhile(**kwargs):
        monkeypatch.undo()
        assert client.put("/b/y", rival).status_code == 200
        return ()

    monkeypatch.setattr(settings, "check_rules", create_rival_meanwhile)
    response = client.put("/a/y", conftest.service("same", 7006))
    assert conftest.problem_name(response) == "invalid-document"
    (error,) = response.json["errors"]
    assert error["path"] == "/a/y $.settings.match.path_prefixes"
    assert "/b/y" in error["problem"]
