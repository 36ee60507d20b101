"""Assigns slots of the backend servers of one service to its requests.

Requests that find no free slot are queued, fairly between tenants.
"""

import dataclasses
import time

import gevent
from gevent import event

from wigeonrouter import core
from wigeonrouter import health
from wigeonrouter import limits
from wigeonrouter import selection
from wigeonrouter.dispatch import _server_table

# The expected load of other daemons decays without an event in this process,
# so a queue is checked again after this time even if no slot was released.
_REDISPATCH_INTERVAL_S = 0.005


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitingRequest:
    """A queued request; the argument of Dispatcher.cancel_waiting()."""

    entry: limits.QueueEntry


class Dispatcher:
    """Owns the backend views and the request queue of one service.

    Args:
      service: core.EffectiveService.
      place: core.Place of this daemon.
      rng: random.Random.
      clock: returns seconds on the monotonic clock.
      call_later: calls a function after some seconds.
      slot_share: index of this daemon among those that divide the slots, and
        their number.
      announce: called with the address of a server and whether it is draining,
        when that has changed.
    """

    def __init__(
        self,
        *,
        service,
        place,
        rng,
        clock=time.monotonic,
        call_later=gevent.spawn_later,
        slot_share=(0, 1),
        announce=lambda address, draining: None,
    ):
        self._place = place
        self._rng = rng
        self._clock = clock
        self._call_later = call_later
        self._slot_share = slot_share
        self._announce = announce
        self._sequence = 0
        self._policy_state = None
        self._servers = _server_table.ServerTable(place=place)
        self._remote_slots = {}
        self._hold_time = limits.HoldTime()
        self._spilling_over = False
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
        """Number of queued requests."""
        return len(self._queue)

    def in_flight(self, name):
        """Return this daemon's requests at a server, 0 if it is unknown."""
        view = self._servers.find(name)
        return view.in_flight if view else 0

    def reconfigure(self, service):
        """Apply new settings; the views of servers that remain are kept."""
        self._service = service
        self._queue.set_weights(service.limits.tenant_weights)
        self._policy = selection.find_policy(service.routing.policy)
        self._policy_state = None
        self._servers.configure(servers=service.servers, now=self._clock())
        self._remote_slots = limits.count_remote_slots(
            servers=service.servers, region=self._place.region
        )
        self._dispatch_queued()

    def set_draining(self, addresses):
        """Apply the set of addresses of draining servers."""
        self._servers.set_draining(
            addresses=frozenset(addresses), now=self._clock()
        )
        self._dispatch_queued()

    def acquire(self, request):
        """Wait for a slot.

        Args:
          request: core.DispatchRequest.
        Returns:
          core.Grant, which must be released, or core.Problem.
        """
        now = self._clock()
        result = self._try_immediately(request, now)
        if result is not None:
            return result
        waiter = event.AsyncResult()
        result = self._enqueue(request, now, waiter.set)
        if not isinstance(result, WaitingRequest):
            return result
        try:
            return waiter.get(timeout=request.deadline - self._clock())
        except gevent.Timeout:
            # set() only schedules the wake-up of the waiter, so the grant may
            # have been delivered before a timeout that fires first.
            if waiter.ready():
                return waiter.value
            return core.Problem(problem=core.problems.DEADLINE_PASSED)
        except BaseException:
            if waiter.ready() and isinstance(waiter.value, core.Grant):
                self._release_unused(waiter.value)
            raise
        finally:
            self.cancel_waiting(result)

    def submit(self, request, deliver):
        """Request a slot without blocking.

        Args:
          request: core.DispatchRequest.
          deliver: called once with a core.Grant or core.Problem if the request
            has to wait, unless cancel_waiting() comes first.
        Returns:
          core.Grant, core.Problem, or a WaitingRequest if it was queued.
        """
        now = self._clock()
        result = self._try_immediately(request, now)
        if result is not None:
            return result
        return self._enqueue(request, now, deliver)

    def _try_immediately(self, request, now):
        if request.deadline <= now:
            return core.Problem(problem=core.problems.DEADLINE_PASSED)
        if not self._servers.eligible:
            return core.Problem(problem=core.problems.NO_SERVER)
        if self._queue:
            return None
        return self._choose(request, now, self._candidates())

    def _enqueue(self, request, now, deliver):
        wait = limits.expected_wait(
            ahead=self._queue.count_ahead(tenant=request.tenant, key=now),
            slots=self._servers.local_slots,
            hold_time=self._hold_time,
        )
        if self._should_spill_over(request, wait):
            grant = self._choose(request, now, self._remote_candidates())
            if grant is not None:
                return grant
        if not limits.can_meet_deadline(
            remaining=request.deadline - now,
            wait=wait,
            hold_time=self._hold_time,
        ):
            return core.Problem(problem=core.problems.DEADLINE_TOO_SHORT)
        if len(self._queue) >= self._service.limits.max_queue:
            evicted = self._queue.find_evictable(request.tenant)
            if evicted is None:
                return core.Problem(problem=core.problems.QUEUE_FULL)
            self._reject_queued(evicted, core.problems.QUEUE_FULL)
        entry = self._queue.push(
            tenant=request.tenant,
            key=now,
            item=(request, deliver),
        )
        self._schedule_dispatch()
        return WaitingRequest(entry=entry)

    def cancel_waiting(self, waiting):
        """Remove a request from the queue; no effect if it is not queued."""
        self._queue.remove(waiting.entry)

    def release(self, grant, attempt):
        """Release a slot and update the server from the result of the attempt.

        Args:
          grant: core.Grant.
          attempt: core.AttemptResult.
        """
        if grant.charged:
            self._queue.adjust_charge(
                grant.tenant, attempt.latency - grant.charged
            )
        view = self._servers.find(grant.server.name)
        if view is None or view.server.address != grant.server.address:
            self._dispatch_queued()
            return
        previous = view
        view = core.evolve_view(view, in_flight=max(0, view.in_flight - 1))
        view = health.after_attempt(view=view, attempt=attempt)
        view = health.next_state(
            view=view,
            attempt=attempt,
            group=self._servers.all_views,
            settings=self._service.health,
            now=self._clock(),
        )
        local = view.server.place.region == self._place.region
        succeeded = attempt.outcome is core.Outcome.OK
        if local and succeeded and not attempt.cancelled:
            self._hold_time = limits.update_hold_time(
                self._hold_time, attempt.latency
            )
            limit = limits.next_concurrency_limit(
                limit=view.limit,
                slots=view.server.slots,
                latency=view.latency,
                mean_latency=self._hold_time.mean,
                queued=len(self._queue) > 0,
            )
            if limit != view.limit:
                view = core.evolve_view(view, limit=limit)
        self._servers.update(view)
        self._announce_change(previous, view)
        self._dispatch_queued()

    def on_probe(self, *, name, probe):
        """Apply a health.ProbeResult to the view of a server."""
        view = self._servers.find(name)
        if view is None:
            return
        after = health.after_probe(view=view, probe=probe, now=self._clock())
        self._servers.update(after)
        self._announce_change(view, after)
        self._dispatch_queued()

    def advance(self):
        """Apply the state changes of servers that depend on time alone."""
        now = self._clock()
        changed = False
        for view in self._servers.views:
            advanced = health.advance(
                view=view, settings=self._service.health, now=now
            )
            if advanced is not view:
                self._servers.update(advanced)
                changed = True
        if changed:
            self._dispatch_queued()

    def _announce_change(self, previous, after):
        is_draining = after.state is core.ServerState.DRAINING
        if is_draining != (previous.state is core.ServerState.DRAINING):
            self._announce(after.server.address, is_draining)

    def _release_unused(self, grant):
        self.release(
            grant,
            core.AttemptResult(
                outcome=core.Outcome.NOT_RUN, latency=0.0, cancelled=True
            ),
        )

    def _dispatch_queued(self):
        now = self._clock()
        while True:
            entry = self._queue.peek()
            if entry is None:
                return
            request, deliver = entry.item
            if not limits.can_meet_deadline(
                remaining=request.deadline - now,
                wait=0.0,
                hold_time=self._hold_time,
            ):
                self._reject_queued(entry, core.problems.DEADLINE_TOO_SHORT)
                continue
            # Only requests that have waited longer than the mean hold time are
            # sent ahead to a full server; a request of a tenant with little
            # traffic gets a free slot soon in any case.
            waited_long = now - entry.sort_key[0] >= self._hold_time.mean
            grant = self._choose(
                request,
                now,
                self._candidates(),
                queue_length=len(self._queue) if waited_long else 0,
            )
            if grant is None:
                self._schedule_dispatch()
                return
            grant = dataclasses.replace(
                grant, tenant=request.tenant, charged=self._hold_time.mean
            )
            self._queue.dequeue(entry, cost=grant.charged)
            deliver(grant)

    def _reject_queued(self, entry, problem):
        self._queue.remove(entry)
        entry.item[1](core.Problem(problem=problem))

    def _schedule_dispatch(self):
        if self._timer is None:
            self._timer = self._call_later(
                _REDISPATCH_INTERVAL_S, self._run_timer
            )

    def _run_timer(self):
        self._timer = None
        self._dispatch_queued()

    def _should_spill_over(self, request, wait):
        if not self._servers.remote or not self._servers.local:
            return False
        price = selection.region_price(request, self._service.routing) / 1000
        self._spilling_over = limits.should_spill_over(
            spilling_over=self._spilling_over,
            expected_wait=wait,
            price=price,
        )
        return self._spilling_over

    def _candidates(self):
        if self._servers.local:
            return self._servers.local
        return self._remote_candidates()

    def _remote_candidates(self):
        if not self._remote_slots:
            return self._servers.eligible
        selected = []
        for region, views in self._servers.remote.items():
            total_in_flight = sum([view.in_flight for view in views])
            request_limit = limits.remote_request_limit(
                slots=self._remote_slots[region],
                regions=len(self._remote_slots) + 1,
            )
            if total_in_flight < request_limit:
                selected.extend(views)
        return tuple(selected)

    def _choose(self, request, now, candidates, queue_length=0):
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
            views = health.non_idempotent_candidates(views)
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
                queue_length=queue_length,
                policy_state=self._policy_state,
                slot_share=self._slot_share,
            ),
        )
        if not isinstance(choice, selection.Choice):
            return None
        self._policy_state = choice.policy_state
        view = self._servers.find(choice.server.name)
        self._servers.update(
            core.evolve_view(view, in_flight=view.in_flight + 1, last_used=now)
        )
        return core.Grant(server=choice.server, granted=now)
