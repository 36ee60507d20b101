"""Guards against groups that differ from the views they were built from."""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies

from wigeonrouter import core
from wigeonrouter import health
from wigeonrouter import selection
from wigeonrouter.dispatch import _server_table

_PLACE = core.Place(region="r0", failure_domain="f")
_COUNT = 5
_index = strategies.integers(0, _COUNT - 1)


def _server(number, draining=False):
    return core.BackendServer(
        name=f"s{number}",
        address=core.Address(host="127.0.0.1", port=1000 + number),
        place=core.Place(region=f"r{number % 2}", failure_domain="f"),
        draining=draining,
    )


class TableMachine(stateful.RuleBasedStateMachine):
    """Compares the table after each change with groups built from scratch."""

    def __init__(self):
        super().__init__()
        self.table = _server_table.ServerTable(place=_PLACE)
        self.draining = frozenset()
        self.configure([True] * _COUNT, [False] * _COUNT)

    @stateful.rule(
        present=strategies.lists(
            strategies.booleans(), min_size=_COUNT, max_size=_COUNT
        ),
        draining=strategies.lists(
            strategies.booleans(), min_size=_COUNT, max_size=_COUNT
        ),
    )
    def configure(self, present, draining):
        servers = tuple(
            _server(number, draining[number])
            for number in range(_COUNT)
            if present[number]
        )
        self.table.configure(servers=servers, now=0.0)

    @stateful.rule(numbers=strategies.sets(_index))
    def set_draining(self, numbers):
        self.draining = frozenset(str(_server(n).address) for n in numbers)
        self.table.set_draining(addresses=self.draining, now=0.0)

    @stateful.rule(
        number=_index,
        state=strategies.sampled_from(core.ServerState),
        in_flight=strategies.integers(0, 2),
        limit=strategies.integers(1, 2),
    )
    def update(self, number, state, in_flight, limit):
        view = self.table.find(f"s{number}")
        if view is not None:
            self.table.update(
                dataclasses.replace(
                    view, state=state, in_flight=in_flight, limit=limit
                )
            )

    @stateful.invariant()
    def groups_match_a_rebuilt_table(self):
        eligible = [
            view
            for view in self.table.views
            if health.is_eligible(view=view, draining_addresses=self.draining)
        ]
        local = [v for v in eligible if v.server.place.region == "r0"]
        remote = [v for v in eligible if v.server.place.region != "r0"]
        assert self.table.eligible == eligible
        assert self.table.local == local
        assert self.table.remote.get("r1", []) == remote
        assert self.table.local_slots == sum(
            map(selection.concurrency_limit, local)
        )
        assert self.table.has_cold == any(
            view.state is core.ServerState.COLD for view in eligible
        )


test_table = TableMachine.TestCase
