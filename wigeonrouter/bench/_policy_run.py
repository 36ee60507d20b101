"""One run of the policy simulation: callers, daemons and backend servers.

The daemons use the production Dispatcher, RetryBudget and home assignment on
a simulated clock. Callers, network, request I/O and backend servers are
simulated.
"""

import dataclasses
import random

from wigeonrouter import core
from wigeonrouter import dispatch
from wigeonrouter import entries
from wigeonrouter import health
from wigeonrouter import limits
from wigeonrouter import request_path
from wigeonrouter.bench import _policy_event_loop
from wigeonrouter.bench import _policy_load
from wigeonrouter.bench import _policy_server

# About the interval at which the prober of a daemon updates server states.
_ADVANCE_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunSettings:
    """Parameters of one cell of the experiment.

    Attributes:
      deployment: _policy_load.Deployment.
      server_count: number of backend servers.
      idempotent: whether requests may be retried after an unknown outcome.
      policy: name of the selection policy.
      steering: how callers choose a daemon: "region" or "failure-domain"
        for home daemons of that scope, "any" for any daemon of the region.
      faults: tuple of (time in seconds, function(simulated servers by
        name)).
      overrides: dict of changes to core.RoutingSettings.
    """

    deployment: _policy_load.Deployment
    server_count: int
    idempotent: bool
    policy: str = "free_slot"
    steering: str = "region"
    faults: tuple = ()
    overrides: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestResult:
    """How one request ended for its caller.

    Attributes:
      arrival: _policy_load.Arrival.
      latency: seconds from the caller's request to its response.
      outcome: "ok", "refused", "late" or another value of core.Outcome.
      attempts: number of attempts.
    """

    arrival: _policy_load.Arrival
    latency: float
    outcome: str
    attempts: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunResult:
    """Results of one run.

    Attributes:
      request_results: one RequestResult for each request.
      retries: number of retries.
      region_bytes: bytes sent between regions.
      remote_times: simulated time of each attempt in another region.
    """

    request_results: tuple[RequestResult, ...]
    retries: int
    region_bytes: int
    remote_times: tuple[float, ...]


class Simulation:
    """Simulates callers, daemons, network and backend servers of one run."""

    def __init__(self, *, settings, servers, arrivals, seed):
        self._settings = settings
        self._arrivals = arrivals
        self._loop = _policy_event_loop.EventLoop()
        self._rng = random.Random(f"run/{seed}")
        self._servers = {
            s.name: _policy_server.SimulatedServer(
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
        self._request_results = []
        self._retries = 0
        self._region_bytes = 0
        self._remote_times = []

    def run(self):
        """Simulate until all requests have ended; return a RunResult."""
        for time, function in self._settings.faults:
            self._loop.call_later(time, function, self._servers)
        for arrival in self._arrivals:
            self._loop.call_later(arrival.time, self._arrive, arrival)
        last = self._arrivals[-1].time if self._arrivals else 0.0
        self._loop.run(last + 2.0)
        return RunResult(
            request_results=tuple(self._request_results),
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
        if arrival.uses_outdated_entry or self._settings.steering == "any":
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
            daemon = _SimulatedDaemon(
                simulation=self,
                member=member,
                service=self._service,
                loop=self._loop,
                slot_share=(local.index(member.daemon_id), len(local)),
            )
            self._daemons[member.daemon_id] = daemon
        return daemon

    def finish(self, arrival, outcome, attempts):
        """Record the response that a daemon sends to a caller."""
        caller_received = (
            self._loop.now + self._settings.deployment.caller_rtt / 2
        )
        latency = caller_received - arrival.time
        if outcome == "ok" and latency > arrival.timeout:
            outcome = "late"
        self._request_results.append(
            RequestResult(
                arrival=arrival,
                latency=latency,
                outcome=outcome,
                attempts=attempts,
            )
        )

    def send(self, place, server, server_attempt, on_response):
        """Deliver an attempt to a server and its response to the daemon.

        Args:
          place: core.Place of the daemon.
          server: core.BackendServer.
          server_attempt: _policy_server.Attempt.
          on_response: called as Attempt.on_response, after the network delay.
        Returns:
          A function that cancels the attempt.
        """
        one_way_delay = self._settings.deployment.rtt(place, server.place) / 2
        simulated_server = self._servers[server.name]
        remote = place.region != server.place.region
        if remote:
            self._region_bytes += _policy_load.REQUEST_BYTES
            self._remote_times.append(self._loop.now)

        def respond(outcome, report):
            if remote:
                self._region_bytes += _policy_load.RESPONSE_BYTES
            self._loop.call_later(one_way_delay, on_response, outcome, report)

        server_attempt.on_response = respond
        self._loop.call_later(
            one_way_delay, simulated_server.arrive, server_attempt
        )
        return lambda: self._loop.call_later(
            one_way_delay, simulated_server.cancel, server_attempt
        )

    def probe(self, name):
        """Return the health.ProbeResult of a server, without network delay."""
        server = self._servers[name]
        unhealthy = server.failing or server.rejecting
        return health.ProbeResult(reached=True, healthy=not unhealthy)

    def count_retry(self):
        """Count a retry."""
        self._retries += 1

    @property
    def kind(self):
        """The core.TrafficKind of all requests."""
        return self._kind


class _SimulatedDaemon:
    """Makes a daemon's decisions; callbacks replace its blocking I/O."""

    def __init__(self, *, simulation, member, service, loop, slot_share):
        self.simulation, self.loop, self.service = simulation, loop, service
        self.place = member.place
        self.dispatcher = dispatch.Dispatcher(
            service=service,
            place=member.place,
            rng=random.Random(member.daemon_id),
            clock=loop.clock,
            call_later=loop.call_later,
            slot_share=slot_share,
        )
        self.budget = limits.RetryBudget(ratio=service.retries.budget_ratio)
        self._advance()

    def _advance(self):
        self.dispatcher.advance()
        for view in self.dispatcher.views:
            if health.needs_probe(view):
                self.dispatcher.on_probe(
                    name=view.server.name,
                    probe=self.simulation.probe(view.server.name),
                )
        self.loop.call_later(_ADVANCE_INTERVAL_S, self._advance)

    def arrive(self, arrival):
        self.budget.on_request()
        _Forwarder(daemon=self, arrival=arrival).attempt()


class _Forwarder:
    """Forwards one request by the rules of request_path's Forwarder."""

    def __init__(self, *, daemon, arrival):
        self._daemon = daemon
        self._loop = daemon.loop
        self._arrival = arrival
        self._deadline = daemon.loop.now + arrival.timeout
        self._attempts = 0
        self._excluded = frozenset()
        self._waiting_request = None
        self._ended = False

    def attempt(self):
        self._attempts += 1
        request = core.DispatchRequest(
            kind=self._daemon.simulation.kind,
            tenant=self._arrival.tenant,
            deadline=self._deadline,
            body_bytes=_policy_load.REQUEST_BYTES,
            attempt=self._attempts,
            excluded=self._excluded,
        )
        result = self._daemon.dispatcher.submit(request, self._on_dispatched)
        if isinstance(result, dispatch.WaitingRequest):
            self._waiting_request = result
            self._loop.call_later(
                self._deadline - self._loop.now, self._on_queue_timeout, result
            )
        else:
            self._on_dispatched(result)

    def _on_queue_timeout(self, waiting_request):
        if self._waiting_request is waiting_request:
            self._waiting_request = None
            self._daemon.dispatcher.cancel_waiting(waiting_request)
            self._finish("refused")

    def _on_dispatched(self, result):
        self._waiting_request = None
        if isinstance(result, core.Problem):
            self._finish("refused")
            return
        state = {"open": True}
        server_attempt = _policy_server.Attempt(
            service_time=self._arrival.service_time,
            deadline=self._deadline,
            on_response=None,
        )

        def on_response(outcome, report):
            if state["open"]:
                state["open"] = False
                self._on_response(result, outcome, report)

        cancel = self._daemon.simulation.send(
            self._daemon.place, result.server, server_attempt, on_response
        )

        def on_timeout():
            if state["open"]:
                state["open"] = False
                cancel()
                self._release(result, core.Outcome.UNKNOWN, None)
                self._finish("late")

        self._loop.call_later(self._deadline - self._loop.now, on_timeout)

    def _on_response(self, grant, outcome, reported_in_flight):
        self._release(grant, outcome, reported_in_flight)
        if outcome is not core.Outcome.NOT_RUN:
            self._finish(outcome.value)
            return
        can_retry = request_path.may_retry(
            kind=self._daemon.simulation.kind,
            failure=core.Problem(problem=core.problems.REFUSED_BY_SERVER),
            attempt=self._attempts,
            max_attempts=self._daemon.service.retries.max_attempts,
            now=self._loop.now,
            deadline=self._deadline,
        )
        if not can_retry or not self._daemon.budget.try_spend():
            self._finish("refused")
            return
        self._daemon.simulation.count_retry()
        self._excluded |= {grant.server.name}
        self.attempt()

    def _release(self, grant, outcome, reported_in_flight):
        dispatcher, now = self._daemon.dispatcher, self._loop.now
        report = None
        if reported_in_flight is not None:
            report = core.LoadReport(
                in_flight=reported_in_flight,
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

    def _finish(self, outcome):
        self._daemon.simulation.finish(self._arrival, outcome, self._attempts)
