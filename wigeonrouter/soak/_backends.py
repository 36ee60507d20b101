"""A backend server of a soak run and what it observes."""

import time

from wigeonrouter.bench import _ports
from wigeonrouter.platform import _emulator
from wigeonrouter.soak import _fault_proxy
from wigeonrouter.soak import _records


class Backend:
    """Owns one backend server and the fault proxy in front of it.

    Attributes:
      instance: instance id, unique for each start of a server.
      service: name of the service.
      domain: failure domain.
      sequence: sequence number of the last registration.
      draining: whether the server is registered as draining.
      removed: whether the server was stopped for good.
    """

    def __init__(
        self,
        *,
        instance,
        service,
        domain,
        service_time,
        port=0,
        slow_start=0.0,
    ):
        self.instance = instance
        self.service = service
        self.domain = domain
        self.server = _emulator.EmulatedBackend(
            instance=instance,
            service=service,
            zone=domain,
            service_time=service_time,
        )
        if slow_start > 0.0:
            self.server.cold_until = time.monotonic() + slow_start
        # The port may be used again by another server. It is below the range
        # of outgoing connections, so none of these takes it in between.
        self.proxy = _fault_proxy.FaultProxy(
            listen=("127.0.0.1", port or _ports.free_ports(1)[0]),
            target=("127.0.0.1", self.server.port),
        )
        self.sequence = 0
        self.draining = False
        self.removed = False

    @property
    def name(self):
        """Instance id; names the server in a FaultPeriod."""
        return self.instance

    def registration(self):
        """Return a registration with the next sequence number."""
        self.sequence += 1
        document = self.server.registration(
            state="draining" if self.draining else "ready",
            sequence=self.sequence,
            address=f"127.0.0.1:{self.proxy.port}",
        )
        cold_s = max(0.0, self.server.cold_until - time.monotonic())
        document["status"]["warmup_left"] = f"{cold_s * 1000:.0f}ms"
        return document

    def stop(self):
        """Stop the server and close all connections to it."""
        self.proxy.stop()
        self.server.stop()

    def record(self, observations):
        """Add what the server observed to Observations."""
        server = self.server
        observations.executions.extend(
            _records.Execution(
                request_id=execution.request_id,
                instance=self.instance,
                service=self.service,
                target=execution.target,
                started=execution.started,
                tenants=_header_values(execution, b"tenant"),
                has_key=bool(_header_values(execution, b"key")),
            )
            for execution in server.runs
        )
        observations.arrivals.extend(
            _records.Arrival(
                at=at,
                request_id=request_id,
                instance=self.instance,
                service=self.service,
                domain=self.domain,
                misdirected=(at, request_id) in server.misdirected,
            )
            for at, request_id in server.arrivals
        )
        observations.cancelled.update(
            (request_id, self.instance) for request_id in server.cancelled
        )
        observations.surplus_responses.update(
            moment.name for moment, _ in server.surplus.written
        )
        for request_id, at in server.ended.items():
            observations.execution_ended_at[request_id, self.instance] = at


def _header_values(execution, name):
    """Return the values of a header, spelled with underscores or not."""
    return tuple(
        value.decode("latin-1")
        for header, value in execution.headers
        if header.strip(b"_-") == name
    )
