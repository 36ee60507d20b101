"""Tests of which regions may execute a request."""

import types

import pytest

from wigeonrouter import placement


def _homes(*regions):
    return types.SimpleNamespace(home_regions=frozenset(regions))


@pytest.mark.parametrize(
    ("route", "tenant", "expected"),
    [
        (_homes(), None, None),
        (_homes(), _homes(), None),
        (_homes("r1"), None, {"r1"}),
        (_homes(), _homes("r2"), {"r2"}),
        (_homes("r1", "r2"), _homes("r2", "r3"), {"r2"}),
        (_homes("r1"), _homes("r2"), set()),
    ],
)
def test_home_regions_of_route_and_tenant_both_bind(route, tenant, expected):
    """Guards against an empty intersection that stands for all regions."""
    merged = placement.merge_home_regions(route, tenant)
    assert merged == expected
    for region in ("r1", "r2", "r3"):
        allowed = expected is None or region in expected
        assert placement.allows_region(merged, region) is allowed


@pytest.mark.parametrize(
    ("routes", "caller_region", "expected"),
    [
        ([_homes()], "r1", None),
        ([_homes(), _homes("r2")], "r1", {"r1", "r2"}),
        ([_homes("r2"), _homes("r3")], "r1", {"r1"}),
        ([_homes("r2")], "", {"r2"}),
    ],
)
def test_callers_are_sent_to_a_home_or_their_own_region(
    routes, caller_region, expected
):
    """Guards against bodies that go to a region where they must not be."""
    assert (
        placement.entry_regions(routes, caller_region=caller_region)
        == expected
    )
