"""Stateful test of attempts at a server that writes responses again.

Any sequence of requests and health checks is sent over the connections of one
pool. The server refuses requests or runs them, and writes copies of responses
that the same connection has carried at any place.
"""

import dataclasses
import time

import gevent
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from wigeonrouter import core
from wigeonrouter import events as events_api
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _prober
from wigeonrouter.node import _sender
from wigeonrouter.platform import _emulated_server
from wigeonrouter.platform import _http

DEADLINE_S = 5.0
SEGMENT_PAUSE_S = 0.0005
# Longer than the server takes to write all copies that a plan can have.
SETTLE_S = 0.01
NOT_EXECUTED = (b"not-executed", b"1")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What the server does with one request or health check.

    Attributes:
      runs: whether it runs the request.
      status: status of its response.
      has_id: whether a refusal has the ID of the request.
      before: which earlier responses of the connection it writes before its
        own one, counted from the latest one.
      behind: which ones it writes behind its own one.
      omitted: whether it closes the connection instead of responding.
      separate: whether there is a pause between responses.
      split: where there is another pause, as a share of all bytes.
      cut: where it closes the connection, as a share of all bytes; None if it
        does not.
    """

    runs: bool
    status: int
    has_id: bool
    before: list
    behind: list
    omitted: bool
    separate: bool
    split: float
    cut: float | None


SHARES = strategies.floats(min_value=0, max_value=1)
COPIES = strategies.lists(strategies.integers(0, 3), max_size=2)


def rarely(strategy, usual, *, one_in=8):
    """Return a strategy that seldom differs from a usual value.

    What ends a connection is rare, so that connections carry many requests.
    """
    return strategies.integers(1, one_in).flatmap(
        lambda number: strategy if number == one_in else strategies.just(usual)
    )


def plans(statuses):
    """Return the strategy of Plans.

    Args:
      statuses: the possible pairs of whether a request runs and the status.
    """
    return strategies.builds(
        lambda kind, **options: Plan(runs=kind[0], status=kind[1], **options),
        strategies.sampled_from(statuses),
        has_id=rarely(strategies.just(False), True),
        before=COPIES,
        behind=rarely(COPIES, [], one_in=3),
        omitted=rarely(strategies.just(True), False),
        separate=strategies.booleans(),
        split=SHARES,
        cut=rarely(SHARES, None),
    )


REFUSALS = [(False, status) for status in (503, 429, 421, 400)]
REQUEST_PLANS = plans([*REFUSALS, (True, 200), (True, 404), (True, 500)])
PROBE_PLANS = plans([(False, 200), (False, 503)])


class CopyingServer(_emulated_server.EmulatedServer):
    """Follows a Plan for each request; the target identifies the request.

    Attributes:
      plans: dict from target to Plan.
      runs: targets of the requests that it ran.
      answered: targets to which it has begun to respond.
      kept_open: targets of requests whose connections it does not close.
      repeated_ids: IDs that arrived more than once on one connection.
    """

    def __init__(self):
        self.plans = {}
        self.runs = set()
        self.answered = set()
        self.kept_open = set()
        self.repeated_ids = []
        self._ids = set()
        self._written = {}
        super().__init__()

    def handle(self, request, sock):
        """Run or refuse a request."""
        plan = self.plans[request.target]
        request_id = request.header(b"request-id")
        if request_id:
            if (sock, request_id) in self._ids:
                self.repeated_ids.append(request_id)
            self._ids.add((sock, request_id))
        if plan.runs:
            self.runs.add(request.target)
        headers = ()
        if request_id and (plan.runs or plan.has_id):
            headers += ((b"request-id", request_id),)
        if not plan.runs and plan.status not in (200, 421):
            headers += (NOT_EXECUTED,)
        return http1.HttpResponse(
            status=plan.status, headers=headers, body=request.target
        )

    def send(self, sock, request, response):
        """Write a response, and copies of earlier ones around it."""
        plan = self.plans[request.target]
        earlier = self._written.setdefault(sock, [])
        own = self.render(request, response)
        before = [earlier[-1 - n] for n in plan.before if n < len(earlier)]
        # Only the first response of a connection is believed without an ID, so
        # that the sender would wait for another one.
        unrecognized = bool(
            earlier
            and request.header(b"request-id")
            and not response.header(b"request-id")
        )
        earlier.append(own)
        behind = [earlier[-1 - n] for n in plan.behind if n < len(earlier)]
        responses = before if plan.omitted else [*before, own, *behind]
        closes = plan.omitted or plan.cut is not None or unrecognized
        if not closes:
            self.kept_open.add(request.target)
        self._write(sock, request, plan, responses, own)
        if closes:
            raise ConnectionResetError("closed by the plan")

    def _write(self, sock, request, plan, responses, own):
        left = sum(map(len, responses))
        split = int(left * plan.split)
        if plan.cut is not None:
            left = int(left * plan.cut)
        for data in responses if plan.separate else [b"".join(responses)]:
            if own in data:
                self.answered.add(request.target)
            data = data[:left]
            left -= len(data)
            for part in (data[:split], data[split:]):
                if part:
                    sock.sendall(part)
                    gevent.sleep(SEGMENT_PAUSE_S)
            split = max(0, split - len(data))


class WatchedPool(http1.ConnectionPool):
    """Pool that notes when a connection comes back too early.

    Attributes:
      target: target of the request whose connection comes back next.
      early: targets of requests whose connections came back before the server
        responded.

    Args:
      server: CopyingServer.
    """

    def __init__(self, server):
        super().__init__()
        self._server = server
        self.target = None
        self.early = []

    def checkin(self, address, connection):
        """Return a connection."""
        if self.target not in self._server.answered:
            self.early.append(self.target)
        super().checkin(address, connection)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A request of a caller, which may be sent more than once."""

    request_id: str
    idempotent: bool


class CopyingServerMachine(stateful.RuleBasedStateMachine):
    """Sends requests and health checks to a CopyingServer."""

    unfinished = stateful.Bundle("unfinished")

    def __init__(self):
        super().__init__()
        self._server = CopyingServer()
        self._pool = WatchedPool(self._server)
        codec = _http.HttpCodec()
        self._sender = _sender.Sender(pool=self._pool, codec=codec)
        self._prober = _prober.Prober(
            pool=self._pool,
            codec=codec,
            events=events_api.EventLog(lines_per_second=0),
        )
        self._sent = 0
        self._attempts = {}

    def teardown(self):
        """Check again what the server did after the last response."""
        gevent.sleep(SETTLE_S)
        try:
            self.check_attempts()
            self.check_ids()
            self.check_losses()
        finally:
            # The server would wait for the ends of open connections.
            self._server.close_connections()
            self._server.stop()

    @stateful.rule(
        target=unfinished,
        plan=REQUEST_PLANS,
        idempotent=strategies.booleans(),
        renamed=strategies.booleans(),
    )
    def send(self, plan, idempotent, renamed):
        """Send a request of its own ID."""
        request = Request(request_id=f"id-{self._sent}", idempotent=idempotent)
        return self._send(request, plan, renamed)

    @stateful.rule(
        target=unfinished,
        request=stateful.consumes(unfinished),
        plan=REQUEST_PLANS,
        renamed=strategies.booleans(),
    )
    def send_again(self, request, plan, renamed):
        """Send a request again, after it was refused or failed."""
        return self._send(request, plan, renamed)

    @stateful.rule(plan=REQUEST_PLANS, renamed=strategies.booleans())
    def send_without_id(self, plan, renamed):
        """Send a request that has no ID."""
        self._send(Request(request_id="", idempotent=False), plan, renamed)

    @stateful.rule(plan=PROBE_PLANS)
    def probe(self, plan):
        """Send a health check over the same connections."""
        target = self._next_target("health", plan)
        self._prober.probe(
            [(self._registration("server-1"), target.decode())],
            timeout=DEADLINE_S,
            deliver=lambda *_: None,
        )

    @stateful.rule()
    def wait(self):
        """Let copies arrive while no request is under way."""
        gevent.sleep(SETTLE_S)

    @stateful.invariant()
    def check_attempts(self):
        """Guards against a promise or a response of another request."""
        for target, attempt in self._attempts.items():
            if not attempt.may_have_run:
                assert target not in self._server.runs
            if attempt.response is not None:
                assert attempt.response.body == target

    @stateful.invariant()
    def check_ids(self):
        """Guards against a copy that nothing tells from the response."""
        assert not self._server.repeated_ids

    @stateful.invariant()
    def check_pool(self):
        """Guards against a response that the next request would get.

        Those to health checks have no ID, so no request takes them.
        """
        assert not [
            target
            for target in self._pool.early
            if not target.startswith(b"/health")
        ]

    @stateful.invariant()
    def check_losses(self):
        """Guards against part of a copy that the next request would get.

        Health checks whose connections came back too early may leave more
        responses than a request skips.
        """
        assert self._pool.early or not [
            target
            for target, attempt in self._attempts.items()
            if attempt.response is None and target in self._server.kept_open
        ]

    def _send(self, request, plan, renamed):
        """Send a request; add it to the unfinished ones if it is not over."""
        target = self._next_target("request", plan)
        headers = ((b"host", b"shop.example"),)
        if request.request_id:
            headers += ((b"request-id", request.request_id.encode()),)
        attempt = self._attempts[target] = self._sender.send(
            request=http1.HttpRequest(
                method=b"GET" if request.idempotent else b"POST",
                target=target,
                headers=headers,
                body=b"",
                keep_alive=True,
                reservation=http1.BufferBudget(limit=1 << 20).reserve(),
            ),
            request_id=request.request_id,
            registration=self._registration(
                "server-2" if renamed else "server-1"
            ),
            idempotent=request.idempotent,
            response_deadline=time.monotonic() + DEADLINE_S,
        )
        if attempt.outcome is placement.AttemptOutcome.SUCCEEDED:
            return stateful.multiple()
        if attempt.may_have_run and not request.idempotent:
            return stateful.multiple()
        return request

    def _next_target(self, kind, plan):
        self._sent += 1
        target = f"/{kind}/{self._sent}".encode()
        self._server.plans[target] = plan
        self._pool.target = target
        return target

    def _registration(self, instance):
        return topology.Registration(
            instance=instance,
            service="alpha",
            address=core.parse_address(self._server.address),
            place=core.Place(region="r1", failure_domain="za"),
            slots=2,
            state=topology.RegistrationState.READY,
        )


TestCopyTakenForResponse = CopyingServerMachine.TestCase
TestCopyTakenForResponse.settings = settings(
    max_examples=60,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    # Shrinking takes longer than the timeout of a test, since each example
    # waits for a server.
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=[HealthCheck.too_slow],
)
