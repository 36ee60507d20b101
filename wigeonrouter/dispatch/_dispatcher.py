"""One dispatcher per service: grants slots and keeps waiting requests."""

import dataclasses
import time

import gevent
from gevent import event

from wigeonrouter import core
from wigeonrouter import health
from wigeonrouter import limits
from wigeonrouter import selection

# Foreign load decays without any event of ours, so a queue is looked at
# again after this time even when nothing was released.
_REPUMP_INTERVAL_S = 0.005


class Dispatcher:
    """Owns the backend views and the queue of one service."""

    def __init__(self, *, service, place, rng, clock=time.monotonic):
        self._place = place
        self._rng = rng
        self._clock = clock
        self._sequence = 0
        self._views = {}
        self._eligible = ()
        self._draining_facts = frozenset()
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
        return tuple(self._views.values())

    @property
    def queue_length(self):
        """Number of waiting requests."""
        return len(self._queue)

    def in_flight(self, name):
        """Return this daemon's requests at a server, 0 if unknown."""
        view = self._views.get(name)
        return view.in_flight if view else 0

    def reconfigure(self, service):
        """Take over new settings; views of remaining servers are kept."""
        self._service = service
        self._policy = selection.find_policy(service.routing.policy)
        now = self._clock()
        views = {}
        for server in service.servers:
            known = self._views.get(server.name)
            if known is None or known.server.address != server.address:
                known = health.new_view(
                    server=server, now=now, known_group=bool(self._views)
                )
            else:
                known = dataclasses.replace(known, server=server)
            views[server.name] = known
        self._views = views
        self._refresh()
        self._pump()

    def set_draining(self, addresses):
        """Take over the addresses that are known to be leaving."""
        self._draining_facts = frozenset(addresses)
        self._refresh()

    def acquire(self, request):
        """Wait for a slot.

        Args:
          request: core.DispatchRequest.
        Returns:
          core.Grant, which must be released, or core.Refusal.
        """
        now = self._clock()
        if request.deadline <= now:
            return core.Refusal(problem=core.problems.DEADLINE_PASSED)
        if not self._eligible:
            return core.Refusal(problem=core.problems.NO_SERVER)
        if not self._queue:
            grant = self._choose(request, now)
            if grant is not None:
                return grant
        if len(self._queue) >= self._service.limits.max_queue:
            return core.Refusal(problem=core.problems.QUEUE_FULL)
        return self._wait(request, now)

    def release(self, grant, attempt):
        """Give a slot back and learn from how the attempt ended."""
        view = self._views.get(grant.server.name)
        if view is None or view.server.address != grant.server.address:
            self._pump()
            return
        view = dataclasses.replace(view, in_flight=max(0, view.in_flight - 1))
        view = health.after_attempt(view=view, attempt=attempt)
        view = health.next_state(
            view=view,
            attempt=attempt,
            group=self._views.values(),
            settings=self._service.health,
            now=self._clock(),
        )
        self._views[grant.server.name] = view
        self._refresh()
        self._pump()

    def on_probe(self, *, name, reached, healthy):
        """Take over the result of a probe; see health.after_probe."""
        view = self._views.get(name)
        if view is None:
            return
        self._views[name] = health.after_probe(
            view=view, reached=reached, healthy=healthy, now=self._clock()
        )
        self._refresh()
        self._pump()

    def advance(self):
        """Let the states of servers follow the time."""
        now = self._clock()
        changed = False
        for name, view in self._views.items():
            advanced = health.advance(
                view=view, settings=self._service.health, now=now
            )
            if advanced is not view:
                self._views[name] = advanced
                changed = True
        if changed:
            self._refresh()
            self._pump()

    def _wait(self, request, now):
        waiter = event.AsyncResult()
        handle = self._queue.push(
            tenant=request.tenant,
            deadline=request.deadline,
            item=(request, waiter),
        )
        self._schedule_pump()
        try:
            return waiter.get(timeout=request.deadline - now)
        except gevent.Timeout:
            return core.Refusal(problem=core.problems.DEADLINE_PASSED)
        except BaseException:
            if waiter.ready() and isinstance(waiter.value, core.Grant):
                self._return_unused(waiter.value)
            raise
        finally:
            self._queue.remove(handle)

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
            request, waiter = handle[3]
            grant = self._choose(request, now) if self._eligible else None
            if grant is None:
                self._schedule_pump()
                return
            self._queue.take(handle)
            waiter.set(grant)

    def _schedule_pump(self):
        if self._timer is None:
            self._timer = gevent.spawn_later(
                _REPUMP_INTERVAL_S, self._run_timer
            )

    def _run_timer(self):
        self._timer = None
        self._pump()

    def _choose(self, request, now):
        views = self._eligible
        if request.excluded:
            views = tuple(
                view
                for view in views
                if view.server.name not in request.excluded
            )
            if not views:
                views = self._eligible
        if not request.kind.idempotent:
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
            ),
        )
        if not isinstance(choice, selection.Choice):
            return None
        name = choice.server.name
        view = self._views[name]
        self._views[name] = dataclasses.replace(
            view, in_flight=view.in_flight + 1, last_used=now
        )
        self._refresh()
        return core.Grant(server=choice.server, granted=now)

    def _refresh(self):
        self._eligible = tuple(
            view
            for view in self._views.values()
            if health.may_get_work(view=view, draining=self._draining_facts)
        )
