"""Guards against trees whose fields are valid one by one but not together."""

import pytest

from wigeonrouter import settings
from wigeonrouter.schema import settings_pb2


def _tree():
    root = settings_pb2.Node()
    root.settings.limits.max_timeout_ms = 100
    root.children["a"].settings.match.hosts.append("a")
    root.children["b"].settings.match.path_prefixes.append("/b")
    return root


def _errors(root, **more):
    return settings.check_rules(root=root, policies=("free_slot",), **more)


def _set_timeout(root):
    root.children["a"].settings.limits.default_timeout_ms = 101


def _set_policy(root):
    root.children["a"].settings.routing.policy = "best"


def _set_match(root):
    root.children["b"].settings.match.hosts.append("b")
    match = root.children["b"].children["c"].settings.match
    match.path_prefixes.extend(("/c", "/b"))
    match.hosts.extend(("x", "b"))


def _set_addresses(root):
    for group, name in (("g", "s"), ("h", "t")):
        server = root.children["a"].settings.groups[group].servers[name]
        server.address = "127.0.0.1:1"


@pytest.mark.parametrize(
    ("change", "node", "field"),
    [
        (_set_timeout, "/a", "limits.default_timeout_ms"),
        (_set_policy, "/a", "routing.policy"),
        (_set_match, "/b/c", "match.path_prefixes"),
        (_set_addresses, "/a", "groups.h.servers.t.address"),
    ],
)
def test_each_rule_names_the_node_and_field_once(change, node, field):
    root = _tree()
    # A node that inherits the invalid value must not report it again.
    root.children["a"].children["below"].SetInParent()
    assert _errors(root) == ()
    change(root)
    (error,) = _errors(root)
    assert (error.node, error.field) == (node, field)
    assert error.allowed


def test_a_match_of_a_service_outside_the_excerpt_is_rejected():
    (error,) = _errors(_tree(), matches={"host a": "/z"})
    assert "/z" in error.problem


@pytest.mark.parametrize(
    ("anchors", "path"),
    [
        ((), "/a/b $.settings.x"),
        ((settings.Anchor(path="/"),), "$.children.a.children.b.settings.x"),
        ((settings.Anchor(path="/a/b", settings_only=True),), "$.x"),
        (
            (settings.Anchor(path="/a", settings_only=True),),
            "/a/b $.settings.x",
        ),
        (
            (
                settings.Anchor(path="/a", prefix="$.changes[0].node"),
                settings.Anchor(path="/b", prefix="$.changes[1].node"),
            ),
            "$.changes[0].node.children.b.settings.x",
        ),
    ],
)
def test_errors_are_located_in_the_operators_document(anchors, path):
    error = settings.RuleError(
        node="/a/b", field="x", problem="p", allowed="q"
    )
    assert settings.locate_error(error=error, anchors=anchors).path == path


def test_walking_the_tree_merges_like_merging_each_node():
    root = _tree()
    root.children["a"].children["x"].settings.limits.max_queue = 1
    walked = dict(settings.walk_effective(root))
    assert set(walked) == {"/", "/a", "/a/x", "/b"}
    for path, merged in walked.items():
        assert merged == settings.merge_settings(root=root, path=path)
        assert merged == settings.effective_settings(root=root, path=path)[0]


def test_an_excerpt_holds_what_a_change_affects():
    root = _tree()
    excerpt = settings.excerpt_tree(root=root, paths=["/a/new", "/a"])
    assert set(excerpt.children) == {"a"}
    assert excerpt.children["a"] == root.children["a"]
    assert excerpt.settings == root.settings
    excerpt = settings.excerpt_tree(root=root, paths=["/a/new"])
    assert excerpt.children["a"].settings == root.children["a"].settings
