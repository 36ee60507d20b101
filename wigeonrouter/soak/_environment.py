"""Environment of the nodes in a run: store, backend servers and operator."""

import dataclasses
import time

import gevent

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import testing
from wigeonrouter.soak import _backends
from wigeonrouter.soak import _records

HOST = "shop.example"
SERVICES = ("alpha", "beta")
# Service of the callers that keep connections; only its servers stand still.
POOLED_SERVICE = "gamma"
_POOLED_SERVERS_PER_DOMAIN = 3
DOMAINS = {"za": "r1", "zb": "r1", "zc": "r2", "zd": "r2"}
_SERVICE_TIMES_S = {"alpha": 0.03, "beta": 0.03, POOLED_SERVICE: 0.16}
_ROUTE_TIMEOUT_S = 1.5
# Longer than what remains of the grace period when a stopping node still
# takes requests.
_POOLED_ROUTE_TIMEOUT_S = 2.8
_POOLED_TARGET_LATENCY_S = 1.5
_TARGET_LATENCY_S = 0.3
_PROBE_INTERVAL_S = 0.7
# Maximum number of nodes that are probed in each interval. The limit is there
# because the backend servers execute the probes as well.
_PROBED_NODES = 12
# Time in which all running backend servers register again after an outage.
_REREGISTRATION_TIME_S = 1.5
_DRAIN_DURATION_S = 4.0


class Environment:
    """Owns the store and the backend servers, and acts as the operator.

    Attributes:
      store: EmulatedStore.
      backends: list of all Backends, including the removed ones.
      fleet: Fleet, None until it is set by the caller.
      sender: Sender, None until it is set by the caller.
      observations: Observations.
      evacuated: set of the failure domains that are evacuated.

    Args:
      tenants: dict from name to topology.Tenant. With any, routes are public
        except for those in tenant_routes.
      slow_start: topology.ServiceSettings with the slow start of the services
        that never stand still, None for no slow start.
    """

    def __init__(
        self,
        *,
        servers_per_domain,
        observations,
        rng,
        has_pooled_callers,
        tenants=None,
        tenant_routes=(),
        slow_start=None,
    ):
        self.evacuated = set()
        self._tenants = dict(tenants or {})
        self._tenant_routes = tenant_routes
        self._slow_start = slow_start
        observations.tenants = self._tenants
        self.store = _emulator.EmulatedStore()
        self.observations = observations
        self.rng = rng
        self.fleet = None
        self.sender = None
        self.backends = []
        self._last_instance_number = 0
        self._last_version = 0
        # The route that each configuration version added, and the time at
        # which the store accepted the latest version.
        self._probe_routes = []
        self._acknowledged_at = 0.0
        self._configuration = {}
        self._read_service = SERVICES[0]
        counts = dict.fromkeys(SERVICES, servers_per_domain)
        if has_pooled_callers:
            counts[POOLED_SERVICE] = _POOLED_SERVERS_PER_DOMAIN
        self._services = tuple(counts)
        self._write_configuration()
        for domain in DOMAINS:
            for service, count in counts.items():
                for _ in range(count):
                    self.add_backend(service, domain)

    @property
    def running(self):
        """List of the Backends that are not removed, also draining ones."""
        return [backend for backend in self.backends if not backend.removed]

    @property
    def active(self):
        """List of the Backends that are neither removed nor draining."""
        return [backend for backend in self.running if not backend.draining]

    @property
    def never_still(self):
        """List of the active Backends of services that never stand still.

        A server that stands still cannot tell limits or pauses, and reads
        requests later than they were sent.
        """
        return [b for b in self.active if b.service != POOLED_SERVICE]

    def routes(self):
        """Return the tuple of routes that callers use."""
        return (
            make_route("read", True, self._read_service),
            make_route("hold", False, SERVICES[0]),
            make_route("pay", False, SERVICES[1]),
        )

    def pooled_routes(self):
        """Return the tuple of routes of callers that keep connections."""
        if POOLED_SERVICE not in self._services:
            return ()
        return tuple(
            dataclasses.replace(
                make_route(name, idempotent, POOLED_SERVICE),
                timeout=_POOLED_ROUTE_TIMEOUT_S,
                target_latency=_POOLED_TARGET_LATENCY_S,
            )
            for name, idempotent in (("browse", True), ("book", False))
        )

    def add_backend(self, service, domain, *, port=0):
        """Start and register a backend server; return its Backend.

        Args:
          port: port of its address, 0 for any free one.
        """
        self._last_instance_number += 1
        backend = _backends.Backend(
            instance=f"i-{self._last_instance_number:03d}",
            service=service,
            domain=domain,
            port=port,
            service_time=_SERVICE_TIMES_S[service],
            slow_start=self._service_settings(service).slow_start,
        )
        self._record_slow_start(backend)
        self.backends.append(backend)
        self.register(backend)
        return backend

    def register(self, backend):
        """Write the registration of a backend server to the store."""
        self.store.put(
            testing.server_key(backend.instance), backend.registration()
        )

    def drain(self, backend):
        """Drain a backend server, wait _DRAIN_DURATION_S and remove it."""
        if backend.draining or backend.removed:
            return
        backend.draining = True
        # A server that stands still would read earlier requests after the
        # time bound of the drain.
        backend.server.standing_still = False
        self.register(backend)
        self.observations.drains.append(
            _records.Drain(
                instance=backend.instance, acknowledged=time.monotonic()
            )
        )
        gevent.sleep(_DRAIN_DURATION_S)
        self.remove(backend)

    def remove(self, backend):
        """Stop a backend server for good and delete its registration."""
        if backend.removed:
            return
        self.unregister(backend)
        self._stop(backend)

    def unregister(self, backend):
        """Delete the registration of a backend server."""
        self.store.remove(testing.server_key(backend.instance))

    def replace(self, backend):
        """Remove a backend server and reuse its address.

        A new backend server of the other service gets the address. Nodes that
        still know the old registration then connect to the wrong service.
        """
        self.remove(backend)
        other = SERVICES[SERVICES[0] == backend.service]
        self.add_backend(other, backend.domain, port=backend.proxy.port)

    def replace_in_place(self, backend):
        """Stop a backend server and start it at its address under a new name.

        Its registration stays until unregister() deletes it.

        Returns:
          The new Backend.
        """
        self._stop(backend)
        return self.add_backend(
            backend.service, backend.domain, port=backend.proxy.port
        )

    def remove_registrations(self):
        """Delete all registrations, as if they had expired in an outage."""
        for backend in self.running:
            self.unregister(backend)

    def restore_registrations(self):
        """Register all running backend servers again, spread over time."""
        for backend in self.running:
            if backend.removed:
                # It was removed while the ones before registered.
                continue
            self.register(backend)
            gevent.sleep(_REREGISTRATION_TIME_S / max(1, len(self.running)))

    def remove_lapsed(self):
        """Delete registrations of servers that do not run, if there are any.

        A store that was restored from a copy may have them again.
        """
        for backend in self.backends:
            key = testing.server_key(backend.instance)
            if backend.removed and key in self.store.keys():
                self.store.remove(key)

    def write_operator_entries_again(self):
        """Write the operator's entries, which the store may have lost."""
        self.store.put(testing.CONFIGURATION_KEY, self._configuration)
        for domain in DOMAINS:
            key = testing.evacuation_key(domain)
            if domain in self.evacuated:
                self.store.put(key, {})
            elif key in self.store.keys():
                self.store.remove(key)

    def evacuate(self, domain):
        """Demand that no request is sent to servers of a failure domain."""
        self.evacuated.add(domain)
        self.store.put(testing.evacuation_key(domain), {})

    def take_back(self, domain):
        """End the evacuation of a failure domain."""
        self.evacuated.discard(domain)
        self.store.remove(testing.evacuation_key(domain))

    def change_configuration(self):
        """Write a new version of the configuration.

        It has one more route, and with a probability of 0.4 the route "read"
        moves to a randomly chosen service.
        """
        if self.rng.random() < 0.4:
            self._read_service = self.rng.choice(SERVICES)
        self._write_configuration()

    def probe_configuration(self):
        """Probe random nodes for the newest route, until killed."""
        while True:
            gevent.sleep(_PROBE_INTERVAL_S)
            nodes = self.fleet.nodes
            for node in self.rng.sample(nodes, min(_PROBED_NODES, len(nodes))):
                gevent.spawn(
                    self._probe,
                    node,
                    self._last_version,
                    self._probe_routes[-1],
                    self._acknowledged_at,
                )

    def _stop(self, backend):
        backend.removed = True
        self.observations.removed_at[backend.instance] = time.monotonic()
        backend.record(self.observations)
        backend.stop()

    def collect_observations(self):
        """Record what the running backend servers observed."""
        for backend in self.running:
            backend.record(self.observations)

    def stop(self):
        """Stop all backend servers and the store."""
        for backend in self.running:
            backend.stop()
        self.store.stop()

    def _write_configuration(self):
        self._last_version += self.rng.randrange(1, 4)
        name = f"v{self._last_version}"
        self._probe_routes.append(make_route(name, True, "alpha"))
        routes = (
            *self.routes(),
            *self.pooled_routes(),
            *self._probe_routes,
        )
        if self._tenants:
            routes = tuple(
                dataclasses.replace(route, public=True) for route in routes
            )
        configuration = topology.Configuration(
            version=self._last_version,
            routes=(*routes, *self._tenant_routes),
            services={
                service: self._service_settings(service)
                for service in self._services
            },
            limits=topology.CallerLimits(),
            authentication=(
                topology.Authentication.KEYED
                if self._tenants
                else topology.Authentication.OPEN
            ),
            tenants=self._tenants,
        )
        for route in configuration.routes:
            self.observations.record_route(route)
        self._configuration = testing.render_configuration(configuration)
        self.store.put(testing.CONFIGURATION_KEY, self._configuration)
        self._acknowledged_at = time.monotonic()

    def _service_settings(self, service):
        settings = topology.ServiceSettings(
            name=service, health_path="/health", max_connections=200
        )
        if self._slow_start is None or service == POOLED_SERVICE:
            return settings
        return dataclasses.replace(
            settings,
            slow_start=self._slow_start.slow_start,
            slow_start_rate=self._slow_start.slow_start_rate,
        )

    def _record_slow_start(self, backend):
        settings = self._service_settings(backend.service)
        if settings.slow_start > 0.0:
            self.observations.cold_periods.append(
                _records.ColdPeriod(
                    instance=backend.instance,
                    per_second=settings.slow_start_rate,
                    began=backend.server.cold_until - settings.slow_start,
                    ended=backend.server.cold_until,
                )
            )

    def _probe(self, node, version, route, acknowledged):
        sent = time.monotonic()
        incarnation = node.incarnation
        found = None
        response = self.sender.send_directly(node, route)
        if response is not None and incarnation == node.incarnation:
            found = not response.not_found
            if response.promises_not_executed:
                # A node that has just started has no configuration yet and
                # rejects the probe.
                found = None
        self.observations.probes.append(
            _records.Probe(
                node=node.name,
                incarnation=incarnation,
                version=version,
                acknowledged=acknowledged,
                sent=sent,
                found=found,
            )
        )


def make_route(name, idempotent, service):
    """Return a topology.Route to one service."""
    return topology.Route(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        shares=(topology.TrafficShare(service=service, weight=1),),
        idempotent=idempotent,
        timeout=_ROUTE_TIMEOUT_S,
        target_latency=_TARGET_LATENCY_S,
        priority=1,
        max_attempts=3,
    )


def get_place(domain):
    """Return the core.Place of a failure domain."""
    return core.Place(region=DOMAINS[domain], failure_domain=domain)
