"""One run of the policy experiment: callers, daemons and fake servers.

The daemons use the real Dispatcher, RetryBudget and home assignment over a
fake clock. Only what lies beyond the interfaces is fake.
"""

import dataclasses
import random

from wigeonrouter import core
from wigeonrouter import dispatch
from wigeonrouter import entries
from wigeonrouter import health
from wigeonrouter import limits
from wigeonrouter import request_path
from wigeonrouter.bench import _policy_clock
from wigeonrouter.bench import _policy_load
from wigeonrouter.bench import _policy_server

# The prober advances the states of servers about this often.
_ADVANCE_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunSettings:
    """One cell of the experiment.

    Attributes:
      steering: "region" or "failure-domain" (home daemons), or "any".
      faults: tuple of (time, function(servers by name)).
      overrides: changes of core.RoutingSettings, as a dict.
    """

    deployment: _policy_load.Deployment
    server_count: int
    idempotent: bool
    policy: str = "free_slot"
    steering: str = "region"
    faults: tuple = ()
    overrides: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """How one request ended for its caller; times in seconds."""

    arrival: _policy_load.Arrival
    latency: float
    outcome: str
    attempts: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunResult:
    """All that a run gave."""

    done: tuple[Done, ...]
    retries: int
    region_bytes: int
    remote_times: tuple[float, ...]


class Run:
    """Owns the fake world of one run."""

    def __init__(self, *, settings, servers, arrivals, seed):
        self._settings = settings
        self._arrivals = arrivals
        self._loop = _policy_clock.EventLoop()
        self._rng = random.Random(f"run/{seed}")
        self._servers = {
            s.name: _policy_server.FakeServer(
                loop=self._loop, server=s, rng=random.Random(s.name)
            )
            for s in servers
        }
        self._kind = core.TrafficKind(
            name="kind", idempotent=settings.idempotent
        )
        routing = core.RoutingSettings(
            policy=settings.policy,
            entry_scope=(
                "region" if settings.steering == "any" else settings.steering
            ),
            **{
                "price_region_ms": settings.deployment.price_region_ms,
                **settings.overrides,
            },
        )
        self._service = core.EffectiveService(
            name=f"/{settings.deployment.name}/{settings.server_count}",
            match=core.MatchSettings(),
            servers=servers,
            routing=routing,
        )
        self._members = _policy_load.make_members()
        self._daemons = {}
        self._done = []
        self._retries = 0
        self._region_bytes = 0
        self._remote_times = []

    def run(self):
        """Run to the end of the last request; return a RunResult."""
        for time, function in self._settings.faults:
            self._loop.call_later(time, function, self._servers)
        for arrival in self._arrivals:
            self._loop.call_later(arrival.time, self._arrive, arrival)
        last = self._arrivals[-1].time if self._arrivals else 0.0
        self._loop.run(last + 2.0)
        return RunResult(
            done=tuple(self._done),
            retries=self._retries,
            region_bytes=self._region_bytes,
            remote_times=tuple(self._remote_times),
        )

    def _arrive(self, arrival):
        daemon = self._daemon(self._pick_member(arrival))
        self._loop.call_later(
            self._settings.deployment.caller_rtt / 2, daemon.arrive, arrival
        )

    def _pick_member(self, arrival):
        place = arrival.place
        if arrival.stray or self._settings.steering == "any":
            local = [
                m for m in self._members if m.place.region == place.region
            ]
            return self._rng.choice(local)
        homes = entries.home_members(
            service=self._service, place=place, members=self._members
        )
        return homes[0] if len(homes) == 1 else self._rng.choice(homes)

    def _daemon(self, member):
        daemon = self._daemons.get(member.daemon_id)
        if daemon is None:
            local = [
                m.daemon_id
                for m in self._members
                if m.place.region == member.place.region
            ]
            daemon = _Daemon(
                run=self,
                member=member,
                service=self._service,
                loop=self._loop,
                share=(local.index(member.daemon_id), len(local)),
            )
            self._daemons[member.daemon_id] = daemon
        return daemon

    def finish(self, arrival, outcome, attempts):
        """Note the answer that a daemon sends to a caller."""
        answered = self._loop.now + self._settings.deployment.caller_rtt / 2
        latency = answered - arrival.time
        if outcome == "ok" and latency > arrival.timeout:
            outcome = "late"
        self._done.append(
            Done(
                arrival=arrival,
                latency=latency,
                outcome=outcome,
                attempts=attempts,
            )
        )

    def send(self, place, server, call, answered):
        """Carry a call to a server and its answer back to the daemon."""
        half = self._settings.deployment.rtt(place, server.place) / 2
        fake = self._servers[server.name]
        remote = place.region != server.place.region
        if remote:
            self._region_bytes += _policy_load.REQUEST_BYTES
            self._remote_times.append(self._loop.now)

        def answer(outcome, report):
            if remote:
                self._region_bytes += _policy_load.RESPONSE_BYTES
            self._loop.call_later(half, answered, outcome, report)

        call.answered = answer
        self._loop.call_later(half, fake.arrive, call)
        return lambda: self._loop.call_later(half, fake.cancel, call)

    def probe(self, name):
        """Return the health.ProbeResult of a server; probes take no time."""
        server = self._servers[name]
        bad = server.failing or server.refusing
        return health.ProbeResult(reached=True, healthy=not bad)

    def count_retry(self):
        """Note a further attempt."""
        self._retries += 1

    @property
    def kind(self):
        """The core.TrafficKind of all requests."""
        return self._kind


class _Daemon:
    """The daemon's decisions, with callbacks in place of blocking I/O."""

    def __init__(self, *, run, member, service, loop, share):
        self.run, self.loop, self.service = run, loop, service
        self.place = member.place
        self.dispatcher = dispatch.Dispatcher(
            service=service,
            place=member.place,
            rng=random.Random(member.daemon_id),
            clock=loop.clock,
            call_later=loop.call_later,
            slot_share=share,
        )
        self.budget = limits.RetryBudget(ratio=service.retries.budget_ratio)
        self._advance()

    def _advance(self):
        self.dispatcher.advance()
        for view in self.dispatcher.views:
            if health.needs_probe(view):
                self.dispatcher.on_probe(
                    name=view.server.name,
                    probe=self.run.probe(view.server.name),
                )
        self.loop.call_later(_ADVANCE_INTERVAL_S, self._advance)

    def arrive(self, arrival):
        self.budget.on_request()
        _Forward(daemon=self, arrival=arrival).attempt()


class _Forward:
    """One request in one daemon; follows request_path's Forwarder."""

    def __init__(self, *, daemon, arrival):
        self._daemon = daemon
        self._loop = daemon.loop
        self._arrival = arrival
        self._deadline = daemon.loop.now + arrival.timeout
        self._attempts = 0
        self._excluded = frozenset()
        self._ticket = None
        self._ended = False

    def attempt(self):
        self._attempts += 1
        request = core.DispatchRequest(
            kind=self._daemon.run.kind,
            tenant=self._arrival.tenant,
            deadline=self._deadline,
            body_bytes=_policy_load.REQUEST_BYTES,
            attempt=self._attempts,
            excluded=self._excluded,
        )
        result = self._daemon.dispatcher.submit(request, self._delivered)
        if isinstance(result, dispatch.WaitingRequest):
            self._ticket = result
            self._loop.call_later(
                self._deadline - self._loop.now, self._expire, result
            )
        else:
            self._delivered(result)

    def _expire(self, ticket):
        if self._ticket is ticket:
            self._ticket = None
            self._daemon.dispatcher.cancel_waiting(ticket)
            self._end("refused")

    def _delivered(self, result):
        self._ticket = None
        if isinstance(result, core.Problem):
            self._end("refused")
            return
        state = {"open": True}
        call = _policy_server.Call(
            work=self._arrival.work, deadline=self._deadline, answered=None
        )

        def answered(outcome, report):
            if state["open"]:
                state["open"] = False
                self._answered(result, outcome, report)

        cancel = self._daemon.run.send(
            self._daemon.place, result.server, call, answered
        )

        def expire():
            if state["open"]:
                state["open"] = False
                cancel()
                self._release(result, core.Outcome.UNKNOWN, None)
                self._end("late")

        self._loop.call_later(self._deadline - self._loop.now, expire)

    def _answered(self, grant, outcome, reported):
        self._release(grant, outcome, reported)
        if outcome is not core.Outcome.NOT_RUN:
            self._end(outcome.value)
            return
        again = request_path.may_retry(
            kind=self._daemon.run.kind,
            failure=core.Problem(problem=core.problems.REFUSED_BY_SERVER),
            attempt=self._attempts,
            max_attempts=self._daemon.service.retries.max_attempts,
            now=self._loop.now,
            deadline=self._deadline,
        )
        if not again or not self._daemon.budget.try_spend():
            self._end("refused")
            return
        self._daemon.run.count_retry()
        self._excluded |= {grant.server.name}
        self.attempt()

    def _release(self, grant, outcome, reported):
        dispatcher, now = self._daemon.dispatcher, self._loop.now
        report = None
        if reported is not None:
            report = core.LoadReport(
                in_flight=reported,
                slots=grant.server.slots,
                draining=False,
                received=now,
                own_in_flight=dispatcher.in_flight(grant.server.name) - 1,
            )
        dispatcher.release(
            grant,
            core.AttemptResult(
                outcome=outcome,
                latency=now - grant.granted,
                report=report,
                refused=outcome is core.Outcome.NOT_RUN,
            ),
        )

    def _end(self, outcome):
        self._daemon.run.finish(self._arrival, outcome, self._attempts)
