"""The users' side of a run: store, backend servers and the operator."""

import time

import gevent

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import testing
from wigeonrouter.soak import _links
from wigeonrouter.soak import _records

HOST = "shop.example"
SERVICES = ("alpha", "beta")
DOMAINS = {"za": "r1", "zb": "r1", "zc": "r2", "zd": "r2"}
_WORK_S = 0.03
_ROUTE_TIMEOUT_S = 1.5
_TARGET_S = 0.3
_PROBE_INTERVAL_S = 0.7
# Nodes that are asked at each time; they load the backend servers too.
_PROBED = 12
# Living servers register again within this time after an outage.
_RETURN_S = 1.5
_LEAVE_S = 4.0


class Backend:
    """Owns one backend server and the link before it."""

    def __init__(self, *, instance, service, domain, port=0):
        self.instance = instance
        self.service = service
        self.domain = domain
        self.server = _emulator.EmulatedBackend(
            instance=instance,
            service=service,
            zone=domain,
            service_time=_WORK_S,
        )
        self.link = _links.Link(
            listen=("127.0.0.1", port), target=("127.0.0.1", self.server.port)
        )
        self.sequence = 0
        self.leaving = False
        self.gone = False

    @property
    def name(self):
        """Name of this start of the server."""
        return self.instance

    def entry(self):
        """Return its registration."""
        self.sequence += 1
        return self.server.registration(
            state="draining" if self.leaving else "ready",
            sequence=self.sequence,
            address=f"127.0.0.1:{self.link.port}",
        )

    def stop(self):
        """End the server and its connections."""
        self.link.stop()
        self.server.stop()


class Scene:
    """Owns the store and the backend servers, and plays the operator.

    Attributes:
      store: EmulatedStore.
      backends: list of Backend, those that have gone included.
      fleet: Fleet, set once it exists.
      sender: Sender, set once it exists.
      seen: Observations.
    """

    def __init__(self, *, servers_per_domain, seen, rng):
        self.store = _emulator.EmulatedStore()
        self.seen = seen
        self.rng = rng
        self.fleet = None
        self.sender = None
        self.backends = []
        self._number = 0
        self._version = 0
        # Route of each version, and when the store took the newest one.
        self._added = []
        self._acknowledged = 0.0
        self._read_service = SERVICES[0]
        self._configure()
        for domain in DOMAINS:
            for service in SERVICES:
                for _ in range(servers_per_domain):
                    self.add_backend(service, domain)

    @property
    def living(self):
        """List of the Backends that have not gone."""
        return [backend for backend in self.backends if not backend.gone]

    @property
    def staying(self):
        """List of the Backends that have neither gone nor are leaving."""
        return [backend for backend in self.living if not backend.leaving]

    def routes(self):
        """Return the routes that callers use."""
        return (
            _route("read", True, self._read_service),
            _route("hold", False, SERVICES[0]),
            _route("pay", False, SERVICES[1]),
        )

    def add_backend(self, service, domain, *, port=0):
        """Start a backend server, at a port if one is named."""
        self._number += 1
        backend = Backend(
            instance=f"i-{self._number:03d}",
            service=service,
            domain=domain,
            port=port,
        )
        self.backends.append(backend)
        self.register(backend)
        return backend

    def register(self, backend):
        """Write a backend server's registration."""
        self.store.put(testing.server_key(backend.instance), backend.entry())

    def drain(self, backend):
        """Let a backend server leave as planned."""
        if backend.leaving:
            return
        backend.leaving = True
        self.register(backend)
        self.seen.leaving.append(
            _records.Leaving(
                instance=backend.instance, acknowledged=time.monotonic()
            )
        )
        gevent.sleep(_LEAVE_S)
        self.remove(backend)

    def remove(self, backend):
        """End a backend server for good."""
        if backend.gone:
            return
        backend.gone = True
        self.store.remove(testing.server_key(backend.instance))
        self._note(backend)
        backend.stop()

    def replace(self, backend):
        """End a backend server; its address goes to the other service."""
        self.remove(backend)
        other = SERVICES[SERVICES[0] == backend.service]
        self.add_backend(other, backend.domain, port=backend.link.port)

    def lapse(self):
        """Let all registrations go; they return after a while."""
        for backend in self.living:
            self.store.remove(testing.server_key(backend.instance))

    def register_again(self):
        """Write all registrations again, as after an outage."""
        for backend in self.living:
            self.register(backend)
            gevent.sleep(_RETURN_S / max(1, len(self.living)))

    def change_configuration(self):
        """Write a new version: one more route, and reads may move."""
        if self.rng.random() < 0.4:
            self._read_service = self.rng.choice(SERVICES)
        self._configure()

    def watch_configuration(self):
        """Ask nodes again and again for the newest routes."""
        while True:
            gevent.sleep(_PROBE_INTERVAL_S)
            nodes = self.fleet.nodes
            for node in self.rng.sample(nodes, min(_PROBED, len(nodes))):
                gevent.spawn(
                    self._probe,
                    node,
                    self._version,
                    self._added[-1],
                    self._acknowledged,
                )

    def collect(self):
        """Note what the backend servers saw."""
        for backend in self.living:
            self._note(backend)

    def stop(self):
        """End all servers."""
        for backend in self.living:
            backend.stop()
        self.store.stop()

    def _note(self, backend):
        seen, server = self.seen, backend.server
        seen.runs.extend(
            _records.Run(
                request_id=run.request_id,
                instance=backend.instance,
                service=backend.service,
                target=run.target,
                started=run.started,
            )
            for run in server.runs
        )
        seen.arrivals.extend(
            (at, request_id, backend.service)
            for at, request_id in server.arrivals
        )
        for request_id, at in server.ended.items():
            seen.work_ended[request_id, backend.instance] = at

    def _configure(self):
        self._version += self.rng.randrange(1, 4)
        name = f"v{self._version}"
        self._added.append(_route(name, True, "alpha"))
        configuration = topology.Configuration(
            version=self._version,
            routes=(*self.routes(), *self._added),
            services={
                service: topology.ServiceSettings(
                    name=service, health_path="/health", max_connections=200
                )
                for service in SERVICES
            },
            limits=topology.CallerLimits(),
        )
        for route in configuration.routes:
            self.seen.allow(route)
        self.store.put(
            testing.CONFIGURATION_KEY,
            testing.render_configuration(configuration),
        )
        self._acknowledged = time.monotonic()

    def _probe(self, node, version, route, acknowledged):
        sent = time.monotonic()
        incarnation = node.incarnation
        found = None
        reply = self.sender.ask(node, route)
        if reply is not None and incarnation == node.incarnation:
            found = not reply.not_found
            if reply.promises_not_executed:
                # A node that has just started knows no configuration yet.
                found = None
        self.seen.probes.append(
            _records.Probe(
                node=node.name,
                incarnation=incarnation,
                version=version,
                acknowledged=acknowledged,
                sent=sent,
                found=found,
            )
        )


def _route(name, idempotent, service):
    return topology.Route(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        shares=(topology.TrafficShare(service=service, weight=1),),
        idempotent=idempotent,
        timeout=_ROUTE_TIMEOUT_S,
        target_latency=_TARGET_S,
        priority=1,
        max_attempts=3,
    )


def place_of(domain):
    """Return the core.Place of a failure domain."""
    return core.Place(region=DOMAINS[domain], failure_domain=domain)
