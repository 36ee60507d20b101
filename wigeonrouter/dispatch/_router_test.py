"""Guards against requests that reach the service of another team."""

import pytest

from wigeonrouter import core
from wigeonrouter import dispatch

_MATCHES = {
    "/a/api": core.MatchSettings(path_prefixes=("/api",)),
    "/a/api-v2": core.MatchSettings(path_prefixes=("/api/v2",)),
    "/b/site": core.MatchSettings(hosts=("b.example",)),
    "/b/api": core.MatchSettings(
        hosts=("b.example",), path_prefixes=("/api",)
    ),
    "/c/named": core.MatchSettings(service_header="c"),
}
_TABLE = dispatch.build_routing_table(
    {
        name: core.EffectiveService(name=name, match=match)
        for name, match in _MATCHES.items()
    }
)


@pytest.mark.parametrize(
    ("header", "host", "path", "expected"),
    [
        ("", "x.example", "/api/v1", "/a/api"),
        ("", "x.example", "/api/v2/x", "/a/api-v2"),
        ("", "b.example", "/", "/b/site"),
        ("", "b.example", "/api/v1", "/b/api"),
        ("c", "b.example", "/api", "/c/named"),
        ("unknown", "b.example", "/api", None),
        ("", "x.example", "/", None),
    ],
)
def test_the_most_specific_match_wins(header, host, path, expected):
    assert (
        dispatch.find_service(
            table=_TABLE, header=header, host=host, path=path
        )
        == expected
    )


_KINDS = (
    core.TrafficKind(
        name="read", idempotent=True, methods=frozenset(("GET",))
    ),
    core.TrafficKind(
        name="book", idempotent=False, path_prefixes=("/s/book",)
    ),
    core.TrafficKind(
        name="check", idempotent=True, path_prefixes=("/s/book/check",)
    ),
)


@pytest.mark.parametrize(
    ("method", "path", "expected", "idempotent"),
    [
        ("GET", "/s/list", "read", True),
        ("GET", "/s/book/1", "book", False),
        ("POST", "/s/book/check", "check", True),
        ("POST", "/s/other", "default", False),
    ],
)
def test_a_request_without_a_kind_is_not_idempotent(
    method, path, expected, idempotent
):
    service = core.EffectiveService(
        name="/s", match=core.MatchSettings(), kinds=_KINDS
    )
    kind = dispatch.find_kind(service=service, method=method, path=path)
    assert (kind.name, kind.idempotent) == (expected, idempotent)


def test_a_tie_goes_to_the_non_idempotent_kind():
    service = core.EffectiveService(
        name="/s",
        match=core.MatchSettings(),
        kinds=(
            core.TrafficKind(name="a", idempotent=True),
            core.TrafficKind(name="b", idempotent=False),
        ),
    )
    kind = dispatch.find_kind(service=service, method="GET", path="/")
    assert kind.name == "b"
