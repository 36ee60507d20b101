"""One dispatcher per service: grants slots and keeps waiting requests."""

import dataclasses
import time

import gevent
from gevent import event

from wigeonrouter import core
from wigeonrouter import health
from wigeonrouter import limits
from wigeonrouter import selection
from wigeonrouter.dispatch import _server_table

# Foreign load decays without any event of ours, so a queue is looked at
# again after this time even when nothing was released.
_REPUMP_INTERVAL_S = 0.005


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Stands for a request that waits in the queue."""

    handle: limits.Handle


class Dispatcher:
    """Owns the backend views and the queue of one service."""

    def __init__(
        self,
        *,
        service,
        place,
        rng,
        clock=time.monotonic,
        call_later=gevent.spawn_later,
        share=(0, 1),
        announce=lambda address, leaving: None,
    ):
        self._place = place
        self._rng = rng
        self._clock = clock
        self._call_later = call_later
        self._share = share
        self._announce = announce
        self._sequence = 0
        self._memory = None
        self._servers = _server_table.ServerTable(place=place)
        self._foreign_slots = {}
        self._hold = limits.HoldTime()
        self._spilling = False
        self._timer = None
        self._service = service
        self._queue = limits.FairQueue(weights=service.limits.tenant_weights)
        self._policy = selection.find_policy(service.routing.policy)
        self.reconfigure(service)

    @property
    def service(self):
        """The core.EffectiveService in force."""
        return self._service

    @property
    def views(self):
        """Tuple of core.BackendView of all configured servers."""
        return self._servers.views

    @property
    def queue_length(self):
        """Number of waiting requests."""
        return len(self._queue)

    def in_flight(self, name):
        """Return this daemon's requests at a server, 0 if unknown."""
        view = self._servers.find(name)
        return view.in_flight if view else 0

    def reconfigure(self, service):
        """Take over new settings; views of remaining servers are kept."""
        self._service = service
        self._queue.set_weights(service.limits.tenant_weights)
        self._policy = selection.find_policy(service.routing.policy)
        self._memory = None
        self._servers.configure(servers=service.servers, now=self._clock())
        self._foreign_slots = limits.count_foreign_slots(
            servers=service.servers, region=self._place.region
        )
        self._pump()

    def set_draining(self, addresses):
        """Take over the addresses that are known to be leaving."""
        self._servers.set_draining(
            addresses=frozenset(addresses), now=self._clock()
        )
        self._pump()

    def acquire(self, request):
        """Wait for a slot.

        Args:
          request: core.DispatchRequest.
        Returns:
          core.Grant, which must be released, or core.Problem.
        """
        now = self._clock()
        result = self._answer_at_once(request, now)
        if result is not None:
            return result
        waiter = event.AsyncResult()
        result = self._enqueue(request, now, waiter.set)
        if not isinstance(result, Ticket):
            return result
        try:
            return waiter.get(timeout=request.deadline - self._clock())
        except gevent.Timeout:
            # set() only schedules the wake-up, so a grant may be there
            # already when the timeout comes first.
            if waiter.ready():
                return waiter.value
            return core.Problem(problem=core.problems.DEADLINE_PASSED)
        except BaseException:
            if waiter.ready() and isinstance(waiter.value, core.Grant):
                self._return_unused(waiter.value)
            raise
        finally:
            self.withdraw(result)

    def submit(self, request, deliver):
        """Ask for a slot without waiting.

        Args:
          request: core.DispatchRequest.
          deliver: called once with a core.Grant or core.Problem where the
            request has to wait, unless withdraw() comes first.
        Returns:
          core.Grant, core.Problem, or the Ticket of a waiting request.
        """
        now = self._clock()
        result = self._answer_at_once(request, now)
        if result is not None:
            return result
        return self._enqueue(request, now, deliver)

    def _answer_at_once(self, request, now):
        if request.deadline <= now:
            return core.Problem(problem=core.problems.DEADLINE_PASSED)
        if not self._servers.eligible:
            return core.Problem(problem=core.problems.NO_SERVER)
        if self._queue:
            return None
        return self._choose(request, now, self._candidates())

    def _enqueue(self, request, now, deliver):
        wait = limits.expected_wait(
            ahead=self._queue.ahead(tenant=request.tenant, key=now),
            slots=self._servers.local_slots,
            hold=self._hold,
        )
        if self._spills(request, wait):
            grant = self._choose(request, now, self._foreign_candidates())
            if grant is not None:
                return grant
        if not limits.can_finish(
            remaining=request.deadline - now, wait=wait, hold=self._hold
        ):
            return core.Problem(problem=core.problems.DEADLINE_TOO_SHORT)
        if len(self._queue) >= self._service.limits.max_queue:
            displaced = self._queue.find_displaced(request.tenant)
            if displaced is None:
                return core.Problem(problem=core.problems.QUEUE_FULL)
            self._refuse_waiting(displaced, core.problems.QUEUE_FULL)
        handle = self._queue.push(
            tenant=request.tenant,
            key=now,
            item=(request, deliver),
        )
        self._schedule_pump()
        return Ticket(handle=handle)

    def withdraw(self, ticket):
        """Take a waiting request out of the queue; no effect afterwards."""
        self._queue.remove(ticket.handle)

    def release(self, grant, attempt):
        """Give a slot back and learn from how the attempt ended."""
        if grant.charged:
            self._queue.settle(grant.tenant, attempt.latency - grant.charged)
        view = self._servers.find(grant.server.name)
        if view is None or view.server.address != grant.server.address:
            self._pump()
            return
        before = view
        view = core.evolve_view(view, in_flight=max(0, view.in_flight - 1))
        view = health.after_attempt(view=view, attempt=attempt)
        view = health.next_state(
            view=view,
            attempt=attempt,
            group=self._servers.group,
            settings=self._service.health,
            now=self._clock(),
        )
        local = view.server.place.region == self._place.region
        answered = attempt.outcome is core.Outcome.OK
        if local and answered and not attempt.cancelled:
            self._hold = limits.learn_hold_time(self._hold, attempt.latency)
            limit = limits.next_limit(
                limit=view.limit,
                slots=view.server.slots,
                latency=view.latency,
                typical=self._hold.mean,
                queued=len(self._queue) > 0,
            )
            if limit != view.limit:
                view = core.evolve_view(view, limit=limit)
        self._servers.put(view)
        self._announce_change(before, view)
        self._pump()

    def on_probe(self, *, name, probe):
        """Take over a health.ProbeResult."""
        view = self._servers.find(name)
        if view is None:
            return
        after = health.after_probe(view=view, probe=probe, now=self._clock())
        self._servers.put(after)
        self._announce_change(view, after)
        self._pump()

    def advance(self):
        """Let the states of servers follow the time."""
        now = self._clock()
        changed = False
        for view in self._servers.views:
            advanced = health.advance(
                view=view, settings=self._service.health, now=now
            )
            if advanced is not view:
                self._servers.put(advanced)
                changed = True
        if changed:
            self._pump()

    def _announce_change(self, before, after):
        leaving = after.state is core.ServerState.DRAINING
        if leaving != (before.state is core.ServerState.DRAINING):
            self._announce(after.server.address, leaving)

    def _return_unused(self, grant):
        self.release(
            grant,
            core.AttemptResult(
                outcome=core.Outcome.NOT_RUN, latency=0.0, cancelled=True
            ),
        )

    def _pump(self):
        now = self._clock()
        while True:
            handle = self._queue.peek()
            if handle is None:
                return
            request, deliver = handle.item
            if not limits.can_finish(
                remaining=request.deadline - now, wait=0.0, hold=self._hold
            ):
                self._refuse_waiting(handle, core.problems.DEADLINE_TOO_SHORT)
                continue
            # Only what has waited for long is sent ahead to a full server;
            # the request of a quiet tenant soon gets a free slot.
            long_wait = now - handle.rank[0] >= self._hold.mean
            grant = self._choose(
                request,
                now,
                self._candidates(),
                waiting=len(self._queue) if long_wait else 0,
            )
            if grant is None:
                self._schedule_pump()
                return
            grant = dataclasses.replace(
                grant, tenant=request.tenant, charged=self._hold.mean
            )
            self._queue.take(handle, cost=grant.charged)
            deliver(grant)

    def _refuse_waiting(self, handle, problem):
        self._queue.remove(handle)
        handle.item[1](core.Problem(problem=problem))

    def _schedule_pump(self):
        if self._timer is None:
            self._timer = self._call_later(_REPUMP_INTERVAL_S, self._run_timer)

    def _run_timer(self):
        self._timer = None
        self._pump()

    def _spills(self, request, wait):
        if not self._servers.foreign or not self._servers.local:
            return False
        price = selection.region_price(request, self._service.routing) / 1000
        self._spilling = limits.next_spilling(
            spilling=self._spilling,
            expected_wait=wait,
            price=price,
        )
        return self._spilling

    def _candidates(self):
        if self._servers.local:
            return self._servers.local
        return self._foreign_candidates()

    def _foreign_candidates(self):
        if not self._foreign_slots:
            return self._servers.eligible
        found = []
        for region, views in self._servers.foreign.items():
            taken = sum([view.in_flight for view in views])
            allowance = limits.foreign_allowance(
                slots=self._foreign_slots[region],
                regions=len(self._foreign_slots) + 1,
            )
            if taken < allowance:
                found.extend(views)
        return tuple(found)

    def _choose(self, request, now, candidates, waiting=0):
        views = candidates
        if request.excluded:
            views = tuple(
                view
                for view in views
                if view.server.name not in request.excluded
            )
        views = views or candidates
        if not views:
            return None
        if self._servers.has_cold and not request.kind.idempotent:
            views = health.proved_views(views)
        self._sequence += 1
        choice = self._policy(
            views=views,
            request=request,
            context=selection.PolicyContext(
                place=self._place,
                routing=self._service.routing,
                now=now,
                rng=self._rng,
                sequence=self._sequence,
                waiting=waiting,
                memory=self._memory,
                share=self._share,
            ),
        )
        if not isinstance(choice, selection.Choice):
            return None
        self._memory = choice.memory
        view = self._servers.find(choice.server.name)
        self._servers.put(
            core.evolve_view(view, in_flight=view.in_flight + 1, last_used=now)
        )
        return core.Grant(server=choice.server, granted=now)
