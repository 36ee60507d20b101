"""Guards against earlier trees that are rebuilt wrongly."""

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from wigeonrouter import configuration
from wigeonrouter.schema import settings_pb2

_STEP = strategies.tuples(
    strategies.sampled_from(("/a", "/a/b", "/c", "/")),
    strategies.sampled_from(("node", "remove", "snapshot")),
)


@given(steps=strategies.lists(_STEP, max_size=12))
@hypothesis_settings(derandomize=True, deadline=None)
def test_each_retained_revision_has_the_tree_of_its_time(steps):
    replica = configuration.Replica(retained=3)
    history = configuration.RevisionHistory(replica=replica, retained=3)
    trees = {0: replica.snapshot().root}
    for path, action in steps:
        revision = replica.revision + 1
        if action == "snapshot":
            snapshot = replica.snapshot()
            snapshot.revision = revision
            snapshot.root.settings.limits.max_queue = revision
            replica.load_snapshot(snapshot)
        else:
            change = settings_pb2.Change(path=path)
            if action == "remove":
                change.remove = True
            else:
                change.node.settings.limits.max_queue = revision
            replica.apply_entries(
                [settings_pb2.LogEntry(revision=revision, changes=[change])]
            )
        trees[revision] = replica.snapshot().root
    assert history.oldest_revision <= replica.revision
    for revision, tree in trees.items():
        rebuilt = history.tree_at(revision)
        if revision < history.oldest_revision:
            assert rebuilt is None
        else:
            assert rebuilt == tree
    assert history.tree_at(replica.revision + 1) is None
