"""Tests of the validation of changes, rollbacks and forks.

Guards against accepted changes that conflict with the rest of the tree.
"""

import pytest

from wigeonrouter import configuration
from wigeonrouter.schema import settings_pb2


def _service(*, header=None, hosts=(), prefixes=(), policy=None, servers=()):
    node = settings_pb2.Node()
    match = node.settings.match
    match.hosts.extend(hosts)
    match.path_prefixes.extend(prefixes)
    if header:
        match.service_header = header
    if policy:
        node.settings.routing.policy = policy
    for number, address in enumerate(servers):
        server = node.settings.groups["g"].servers[f"s{number}"]
        server.address = address
    return node


def _change(path, node):
    return settings_pb2.Change(path=path, node=node)


@pytest.fixture
def replica():
    """A replica with one service per kind of match."""
    replica = configuration.Replica()
    replica.apply_entries(
        [
            settings_pb2.LogEntry(
                revision=1,
                change_id="first",
                changes=[
                    _change("/t/header", _service(header="h")),
                    _change("/t/host", _service(hosts=["a.example"])),
                    _change("/t/prefix", _service(prefixes=["/p"])),
                    _change(
                        "/t/both",
                        _service(hosts=["b.example"], prefixes=["/p"]),
                    ),
                ],
            )
        ]
    )
    return replica


_TIMEOUTS = settings_pb2.Node()
_TIMEOUTS.settings.match.service_header = "new"
_TIMEOUTS.settings.limits.default_timeout_ms = 5000
_TIMEOUTS.settings.limits.max_timeout_ms = 1000
_ADDRESS = "127.0.0.1:1000"


@pytest.mark.parametrize(
    ("path", "node", "path_at_fault", "problem"),
    [
        (
            "/x",
            _service(header="h"),
            "/x $.settings.match.service_header",
            "service /t/header has the same match: X-Service h",
        ),
        (
            "/x",
            _service(hosts=["a.example"]),
            "/x $.settings.match.hosts",
            "service /t/host has the same match: host a.example",
        ),
        (
            "/x",
            _service(prefixes=["/p"]),
            "/x $.settings.match.path_prefixes",
            "service /t/prefix has the same match: host * path /p",
        ),
        (
            "/x",
            _service(hosts=["b.example"], prefixes=["/p"]),
            "/x $.settings.match.path_prefixes",
            "service /t/both has the same match: host b.example path /p",
        ),
        (
            "/x",
            _service(policy="guess"),
            "/x $.settings.routing.policy",
            "unknown policy 'guess'",
        ),
        ("/x", _service(servers=["nowhere"]), "/x", "has no port"),
        (
            "/x",
            _service(servers=[_ADDRESS] * 2),
            "/x $.settings.groups.g.servers.s1.address",
            f"{_ADDRESS} is already g/s0",
        ),
        (
            "/x",
            _TIMEOUTS,
            "/x $.settings.limits.default_timeout_ms",
            "5000 is above max_timeout_ms",
        ),
        ("x", _service(), "x", "invalid path"),
        ("/x/../y", _service(), "/x/../y", "invalid path"),
        ("/x" * 65, _service(), "/x" * 65, "invalid path"),
    ],
)
def test_a_conflict_with_the_tree_is_reported(
    replica, path, node, path_at_fault, problem
):
    errors = configuration.check_changes(
        replica=replica,
        changes=(_change(path, node),),
        policies=("free_slot",),
    )
    assert [error.path for error in errors] == [path_at_fault]
    assert problem in errors[0].problem


def test_an_invalid_setting_inherited_from_a_parent_is_rejected(replica):
    settings = settings_pb2.Settings()
    settings.routing.policy = "guess"
    errors = configuration.check_changes(
        replica=replica,
        changes=(settings_pb2.Change(path="/t", settings=settings),),
        policies=("free_slot",),
    )
    # One error for the node that sets the policy, not one per service.
    assert [error.path for error in errors] == ["/t $.settings.routing.policy"]
    own = _change("/t/own", _service(header="own", policy="guess"))
    errors = configuration.check_changes(
        replica=replica,
        changes=(settings_pb2.Change(path="/t", settings=settings), own),
        policies=("free_slot",),
    )
    assert {error.path for error in errors} == {
        "/t $.settings.routing.policy",
        "/t/own $.settings.routing.policy",
    }


@pytest.mark.parametrize(
    "changes",
    [
        (_change("/t/header", _service(header="h", policy="free_slot")),),
        (
            settings_pb2.Change(path="/t/header", remove=True),
            _change("/x", _service(header="h")),
        ),
        (_change("/x", _service(hosts=["c.example"], prefixes=["/p"])),),
    ],
)
def test_a_consistent_change_is_accepted_and_checking_changes_nothing(
    replica, changes
):
    before = replica.snapshot()
    assert not configuration.check_changes(
        replica=replica, changes=changes, policies=("free_slot",)
    )
    assert replica.snapshot() == before


def test_an_older_node_can_be_read_while_its_revision_is_retained():
    replica = configuration.Replica(retained=3)
    steps = [
        _change("/a/b", _service(header="one")),
        _change("/a", _service(header="two")),
        settings_pb2.Change(path="/a", remove=True),
        _change("/a/b", _service(header="three")),
    ]
    nodes = []
    for number, change in enumerate(steps, start=1):
        replica.apply_entries(
            [
                settings_pb2.LogEntry(
                    revision=number, change_id=str(number), changes=[change]
                )
            ]
        )
        copy = settings_pb2.Node()
        copy.CopyFrom(replica.root)
        nodes.append(copy)
    for number in range(1, 5):
        assert replica.node_at(path="/", revision=number) == (
            True,
            nodes[number - 1],
        )
    assert replica.node_at(path="/a", revision=3) == (True, None)
    assert replica.node_at(path="/", revision=0) == (False, None)
    assert replica.node_at(path="/", revision=5) == (False, None)


def test_an_entry_that_differs_from_the_applied_one_is_a_fork():
    replica = configuration.Replica()
    change = _change("/a", _service(header="one"))
    for change_id in ("one", "two"):
        entry = settings_pb2.LogEntry(
            revision=1, change_id=change_id, changes=[change]
        )
        if change_id == "one":
            replica.apply_entries([entry])
            continue
        with pytest.raises(configuration.ForkError):
            replica.apply_entries([entry])
