"""Guards against inheritance that drops or adds settings."""

from wigeonrouter import settings
from wigeonrouter.schema import settings_pb2


def _tree():
    root = settings_pb2.Node()
    root.settings.limits.max_queue = 7
    root.settings.limits.default_timeout_ms = 100
    child = root.children["a"].children["b"]
    child.settings.limits.max_queue = 0
    child.settings.match.path_prefixes.append("/b")
    return root


def test_a_child_overrides_only_what_differs():
    merged, origins = settings.effective_settings(root=_tree(), path="/a/b")
    assert merged.limits.max_queue == 0
    assert merged.limits.default_timeout_ms == 100
    assert origins["limits.max_queue"] == "/a/b"
    assert origins["limits.default_timeout_ms"] == "/"


def test_match_is_not_inherited():
    root = _tree()
    root.children["a"].children["b"].children["c"].SetInParent()
    assert set(settings.build_services(root)) == {"/a/b"}


def test_removing_a_missing_node_changes_nothing():
    change = settings_pb2.Change(path="/x/y", remove=True)
    root = _tree()
    assert settings.apply_changes(root=root, changes=(change,)) == root
