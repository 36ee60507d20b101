"""Guards against changes that exceed the rights of their token."""

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from wigeonrouter import settings
from wigeonrouter.administration import conftest
from wigeonrouter.schema import settings_pb2

_PATHS = ("/", "/a", "/a/x", "/a/x/z", "/a/new", "/b", "/b/x", "/c")
_SETTINGS = strategies.sampled_from(
    (
        {},
        {"limits": {"max_queue": 1}},
        {"access": {}},
        {"access": {"mine": conftest.access("admin", "mine")}},
    )
)
_NODE = strategies.recursive(
    strategies.fixed_dictionaries({}, optional={"settings": _SETTINGS}),
    lambda inner: strategies.fixed_dictionaries(
        {
            "children": strategies.dictionaries(
                strategies.sampled_from(("a", "b", "x")), inner, max_size=2
            )
        },
        optional={"settings": _SETTINGS},
    ),
    max_leaves=4,
)
_CHANGE = strategies.sampled_from(_PATHS).flatmap(
    lambda path: strategies.one_of(
        strategies.builds(lambda node: {"path": path, "node": node}, _NODE),
        strategies.builds(
            lambda value: {"path": path, "settings": value}, _SETTINGS
        ),
        strategies.just({"path": path, "remove": True}),
    )
)


def _nodes(root):
    """Return a dict from path to the settings of each node."""
    settings_by_path, pending = {}, [("/", root)]
    while pending:
        path, node = pending.pop()
        settings_by_path[path] = node.settings
        for name, child in node.children.items():
            names = (*settings.split_path(path), name)
            pending.append((settings.join_path(names), child))
    return settings_by_path


@given(
    token=strategies.sampled_from(
        ("a-reader", "a-operator", "a-admin", "b-admin")
    ),
    changes=strategies.lists(_CHANGE, min_size=1, max_size=3),
)
@hypothesis_settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
def test_no_change_exceeds_the_rights_of_its_token(client, token, changes):
    before = _nodes(client.daemon.replica.snapshot().root)
    response = client.send(
        "POST", "/v1/config/changes", token=token, body={"changes": changes}
    )
    after = _nodes(client.daemon.replica.snapshot().root)
    own = token[0]
    for path in {*before, *after}:
        old, new = before.get(path), after.get(path)
        if old == new:
            continue
        assert settings.split_path(path)[:1] == (own,), path
        assert token != "a-reader"
        if token == "a-operator":
            empty = settings_pb2.Settings()
            assert (old or empty).access == (new or empty).access, path
    if response.status_code == 200 and after != before:
        # Restores the tree for the next example.
        revision = client.daemon.replica.revision - 1
        node = client.daemon.replica.node_at(path="/", revision=revision)[1]
        client.daemon.restore(node)
