"""Guards against requests to servers whose VM is leaving."""

import collections

import pytest

from wigeonrouter import core
from wigeonrouter import store
from wigeonrouter.health import _vm_list

_Fact = collections.namedtuple("_Fact", "state source")
_BY_HOST = {
    "10.0.0.1": {"10.0.0.1:80", "10.0.0.1:81"},
    "10.0.0.2": {"10.0.0.2:80"},
}


def _listing(address, state):
    vm = store.Vm(
        name="vm",
        role="backend",
        address=address,
        region="r",
        failure_domain="r-a",
        state=state,
    )
    return store.VmListing(version=1, vms=(vm,))


@pytest.mark.parametrize(
    ("address", "state", "known", "expected"),
    [
        (
            "10.0.0.1",
            "leaving",
            {},
            [("10.0.0.1:80", "draining"), ("10.0.0.1:81", "draining")],
        ),
        ("10.0.0.1:80", "leaving", {}, [("10.0.0.1:80", "draining")]),
        (
            "10.0.0.2",
            "leaving",
            {"10.0.0.2:80": _Fact("draining", "operator")},
            [],
        ),
        (
            "10.0.0.2",
            "live",
            {"10.0.0.2:80": _Fact("draining", "vm-list")},
            [("10.0.0.2:80", "ready")],
        ),
        # A stale "live" must not end an operator's drain.
        (
            "10.0.0.2",
            "live",
            {"10.0.0.2:80": _Fact("draining", "operator")},
            [],
        ),
        ("10.0.0.2", "live", {}, []),
        ("10.0.0.9", "leaving", {}, []),
        ("10.0.0.2", "surprising", {}, []),
    ],
)
def test_vm_list_is_trusted_only_for_leaving_vms(
    address, state, known, expected
):
    changes = _vm_list.state_changes(
        listing=_listing(address, state),
        addresses_by_host=_BY_HOST,
        known=known,
    )
    assert [(change.address, change.state) for change in changes] == expected


def test_servers_are_grouped_by_host():
    server = core.BackendServer(
        name="s",
        address=core.Address(host="10.0.0.1", port=80),
        place=core.Place(region="r", failure_domain="r-a"),
    )
    service = core.EffectiveService(
        name="/s", match=core.MatchSettings(), servers=(server,)
    )
    assert _vm_list.group_addresses_by_host([service]) == {
        "10.0.0.1": {"10.0.0.1:80"}
    }
