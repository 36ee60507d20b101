"""Guards the fair queue: no item lost or served twice, no tenant starved."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from wigeonrouter import limits

_TENANTS = strategies.sampled_from("abc")
_WEIGHTS = (("a", 2.0), ("b", 1.0), ("c", 0.5))


class _NaiveQueue:
    """Reference queue that scans all items for each result."""

    def __init__(self):
        self.items = []
        self.virtual_times = {}
        self.virtual_clock = 0.0

    def push(self, tenant, key, number):
        if all(item[0] != tenant for item in self.items):
            self.virtual_times[tenant] = max(
                self.virtual_times.get(tenant, 0.0), self.virtual_clock
            )
        self.items.append((tenant, key, number))

    def next_items(self):
        """Return all items that may be next; several if tenants are tied."""
        if not self.items:
            return []
        low = min(self.virtual_times[item[0]] for item in self.items)
        tenants = {i[0] for i in self.items if self.virtual_times[i[0]] == low}
        return [
            min((i for i in self.items if i[0] == tenant), key=lambda i: i[1:])
            for tenant in tenants
        ]

    def dequeue(self, item, cost):
        self.items.remove(item)
        self.virtual_clock = max(
            self.virtual_clock, self.virtual_times[item[0]]
        )
        self.virtual_times[item[0]] += cost / dict(_WEIGHTS)[item[0]]
        self.forget()

    def forget(self):
        if not self.items:
            self.virtual_times = {}


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Differential test of FairQueue against _NaiveQueue."""

    def __init__(self):
        super().__init__()
        self.queue = limits.FairQueue(weights=_WEIGHTS)
        self.naive = _NaiveQueue()
        self.entries = {}
        self.number = 0

    @stateful.rule(tenant=_TENANTS, key=strategies.integers(0, 5))
    def push(self, tenant, key):
        self.number += 1
        item = (tenant, key, self.number)
        self.naive.push(*item)
        self.entries[item] = self.queue.push(tenant=tenant, key=key, item=item)

    @stateful.rule(cost=strategies.sampled_from((0.5, 1.0, 4.0)))
    def dequeue(self, cost):
        entry = self.queue.peek()
        expected = self.naive.next_items()
        if entry is None:
            assert not expected
            return
        assert entry.item in expected
        self.queue.dequeue(entry, cost=cost)
        self.naive.dequeue(entry.item, cost)
        del self.entries[entry.item]

    @stateful.precondition(lambda self: self.entries)
    @stateful.rule(data=strategies.data())
    def remove(self, data):
        item = data.draw(strategies.sampled_from(sorted(self.entries)))
        entry = self.entries.pop(item)
        self.queue.remove(entry)
        self.queue.remove(entry)
        self.naive.items.remove(item)
        self.naive.forget()

    @stateful.rule(tenant=_TENANTS)
    def evict(self, tenant):
        """A tenant above its share must not evict another tenant's item."""
        entry = self.queue.find_evictable(tenant)
        if entry is None:
            return
        weights = dict(_WEIGHTS)
        counts = {t: 0 for t in weights}
        for item in self.naive.items:
            counts[item[0]] += 1
        assert entry.tenant != tenant
        assert entry.item in self.entries
        assert (
            counts[entry.tenant] / weights[entry.tenant]
            >= counts[tenant] / weights[tenant]
        )

    @stateful.rule(tenant=_TENANTS, key=strategies.integers(0, 5))
    def count_ahead(self, tenant, key):
        own = sum(i[0] == tenant and i[1] <= key for i in self.naive.items)
        count = self.queue.count_ahead(tenant=tenant, key=key)
        assert own <= count <= len(self.naive.items)

    @stateful.invariant()
    def order_holds_every_item_once(self):
        """An order of the next items must not lose or repeat any."""
        entries = self.queue.first(len(self.naive.items))
        items = [entry.item for entry in entries]
        assert sorted(items) == sorted(self.naive.items)
        if items:
            assert items[0] in self.naive.next_items()
        for tenant in "abc":
            own = [item for item in items if item[0] == tenant]
            assert own == sorted(own)
            if own:
                assert self.queue.first_of(tenant).item == own[0]

    @stateful.invariant()
    def sizes_agree(self):
        assert len(self.queue) == len(self.naive.items) == len(self.entries)


FairQueueMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestFairQueue = FairQueueMachine.TestCase


def _serve(queue, count):
    shares = {}
    for _ in range(count):
        entry = queue.peek()
        queue.dequeue(entry)
        shares[entry.tenant] = shares.get(entry.tenant, 0) + 1
    return shares


def test_a_busy_tenant_does_not_delay_a_quiet_one():
    queue = limits.FairQueue()
    for number in range(200):
        queue.push(tenant="noisy", key=number, item=None)
    _serve(queue, 50)
    queue.push(tenant="quiet", key=1000, item=None)
    assert "quiet" in _serve(queue, 2)


def test_weights_divide_the_slots():
    queue = limits.FairQueue(weights=(("a", 3.0), ("b", 1.0)))
    for number in range(100):
        queue.push(tenant="a", key=number, item=None)
        queue.push(tenant="b", key=number, item=None)
    assert _serve(queue, 80) == {"a": 60, "b": 20}


def test_tenants_are_charged_by_slot_time():
    """Otherwise a tenant with slow requests gets more than its share."""
    queue = limits.FairQueue()
    for number in range(100):
        queue.push(tenant="slow", key=number, item=None)
        queue.push(tenant="fast", key=number, item=None)
    served = {"slow": 0, "fast": 0}
    for _ in range(88):
        entry = queue.peek()
        queue.dequeue(entry, cost=1.0)
        served[entry.tenant] += 1
        if entry.tenant == "slow":
            queue.adjust_charge("slow", 9.0)
    assert 70 <= served["fast"] and served["slow"] <= 9


def test_state_of_idle_tenants_is_bounded():
    """Callers choose tenant names, so their number is unbounded."""
    queue = limits.FairQueue()
    for number in range(5000):
        entry = queue.push(tenant=f"t{number}", key=number, item=None)
        queue.dequeue(entry)
    assert len(queue._virtual_times) < 200
