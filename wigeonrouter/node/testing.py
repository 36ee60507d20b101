"""Simulated regions whose nodes, hubs and links fail, for tests of quotas.

The nodes run the quota code of a node, with the real messages, on a simulated
clock. The simulation stands for connections, hub changes and servers.
"""

import collections
import dataclasses
import random

from wigeonrouter import core
from wigeonrouter import store
from wigeonrouter import topology
from wigeonrouter.node import _hub
from wigeonrouter.node import _region_quotas
from wigeonrouter.schema import node_pb2

_STEP_S = 0.02
_TOKEN_WAIT_S = 0.1
# From the signal to stop until the end of a process.
_STOP_S = 4.2
# Age of the nodes' copies of the store.
_COPY_AGE_S = 0.2
_FAILURE_DOMAIN = "{}-a"
_PLACE_SETTINGS = {
    "caller_address": None,
    "readiness_address": None,
    "directory_address": None,
    "control_address": None,
    "store_address": core.Address(host="192.0.2.1", port=1),
    "peer_ports": (2, 3),
    "seeds": (),
    "capacity": 1000,
    "memory_bytes": 1 << 28,
    "heartbeat": 1.5,
}
BOUNDS = topology.Bounds(quota_overage=0.1, quota_slack=20.0)


@dataclasses.dataclass(kw_only=True, eq=False)
class Request:
    """A request as far as the quota code sees it."""

    tenant: topology.Tenant
    send_at: float
    give_up_at: float
    token: object = None


class _Connection:
    """A follower's connection to its hub, in both directions."""

    def __init__(self, *, follower, hub, now):
        self.follower = follower
        self.hub = hub
        self.up = collections.deque()
        self.down = collections.deque()
        self.heard_by_follower = now
        self.heard_by_hub = now
        self.closed = False


class Store:
    """The store as far as quotas need it, with delays and lost replies.

    Attributes:
      loss_ratio: how many of the calls fail, before or after the write.
    """

    def __init__(self, *, world):
        self._world = world
        self._revision = 0
        # Pairs of the time of a write and the records after it.
        self._versions = [(0.0, None, {})]
        # Pairs of the time of a write and a dict from region to its levels.
        self._levels = [(0.0, {})]
        self.loss_ratio = 0.0
        self.transfers = 0

    def view(self, node):
        """Return the ClusterState of a node, whose copy is a little old."""
        return _StoreView(store=self, node=node, world=self._world)

    def read(self, time):
        """Return the shares and demands that were written before a time."""
        for written, shares, demands in reversed(self._versions):
            if written <= time:
                return shares, demands
        return None, {}

    def read_levels(self, region, time):
        """Return the levels of a region that were written before a time."""
        for written, levels in reversed(self._levels):
            if written <= time:
                return levels.get(region)
        return None

    def write_quota_levels(self, *, region, levels):
        self._lose()
        written = self._levels[-1][1]
        known = written[region].revision if region in written else 0
        if known != levels.revision:
            return None
        self._revision += 1
        record = topology.QuotaLevelsWritten(
            region=region,
            ledger=levels.ledger,
            starts=levels.starts,
            general=levels.general,
            levels=levels.levels,
            revision=self._revision,
        )
        self._levels.append((self._world.now, written | {region: record}))
        self._lose()
        return self._revision

    def write_quota_demand(self, *, region, missing):
        self._lose()
        self._revision += 1
        _, shares, demands = self._versions[-1]
        record = topology.QuotaDemandWritten(
            region=region, missing=missing, revision=self._revision
        )
        self._append(shares, demands | {region: record})
        self._lose()

    def write_quota_shares(self, *, parts, regions, revision):
        self._lose()
        _, shares, demands = self._versions[-1]
        if (shares.revision if shares is not None else 0) != revision:
            return False
        self._revision += 1
        self.transfers += 1
        record = topology.QuotaSharesWritten(
            parts=parts, revision=self._revision
        )
        self._append(record, demands)
        self._lose()
        return True

    def _append(self, shares, demands):
        self._versions.append((self._world.now, shares, demands))
        del self._versions[:-50]

    def _lose(self):
        if self._world.rng.random() < self.loss_ratio:
            raise store.StoreUnavailable("simulated loss")


class _StoreView:
    """The ClusterState of one node."""

    def __init__(self, *, store, node, world):
        self._store = store
        self._node = node
        self._world = world
        self._seen_until = world.now

    @property
    def configuration(self):
        return self._world.configuration

    def hosts(self, region):
        return [
            node.host for node in self._world.nodes if node.region == region
        ]

    @property
    def quota_shares(self):
        return self._read()[0]

    @property
    def quota_demands(self):
        return tuple(self._read()[1].values())

    def quota_levels(self, region):
        self._read()
        return self._store.read_levels(region, self._seen_until)

    def _read(self):
        if self._node.host not in self._world.partition:
            self._seen_until = self._world.now - _COPY_AGE_S
        return self._store.read(self._seen_until)


class _Events:
    def notice(self, name, /, **fields):
        pass


class _Node:
    """A node with its quotas, and the requests that it handles."""

    def __init__(self, *, world, region, host):
        self.world = world
        self.region = region
        self.host = host
        self.frozen_until = 0.0
        self.exchange_at = 0.0
        self.dead_until = 0.0
        self.stops_at = None
        self.seek_at = 0.0
        self.connection = None
        self.is_hub = False
        self.hub_since = 0.0
        self.waiting = []
        self.requests = []
        self.running = []
        # Connections to this node as a hub.
        self.followers = {}
        self.readiness = {host: True}
        self.start()

    def start(self):
        settings = topology.NodeSettings(
            name=self.host,
            place=core.Place(
                region=self.region,
                failure_domain=_FAILURE_DOMAIN.format(self.region),
            ),
            host=self.host,
            regions={
                _FAILURE_DOMAIN.format(region): region
                for region in self.world.regions
            },
            bounds=BOUNDS,
            first_start=self.world.now == 0.0,
            **_PLACE_SETTINGS,
        )
        self.quotas = _region_quotas.RegionQuotas(
            settings=settings,
            cluster_state=self.world.store.view(self),
            feed=self.world.store,
            peers=lambda: (),
            store_era=lambda: 1,
            events=_Events(),
            rng=self.world.rng,
            clock=lambda: self.world.now,
            boot_clock=lambda: self.world.now,
        )
        self.quotas.client.configure()
        self.quotas.observe({self.host: True})

    @property
    def active(self):
        now = self.world.now
        return now >= self.frozen_until and now >= self.dead_until

    def served_hosts(self):
        heard_after = self.world.now - _hub.SERVED_TIMEOUT_S
        return [self.host] + [
            host
            for host, connection in self.followers.items()
            if connection.heard_by_hub >= heard_after
        ]


class World:
    """Regions of nodes, with a simulated clock.

    Args:
      seed: of all random choices.
      tenants: tuple of topology.Tenant.
      demand: dict from tenant to requests per second of all nodes.
      regions: names of the regions.
      nodes: number of nodes of each region.
      homes: how many of them get nearly all requests.
      delays: of messages, seconds, one of which is drawn for each.
      repeat_ratio: how many of the messages arrive twice.

    Attributes:
      sent: dict from tenant to the times of the requests that ran.
      rejected: Counter of requests without a token, by tenant.
    """

    def __init__(
        self,
        *,
        seed,
        tenants,
        demand,
        regions=("r1",),
        nodes=5,
        homes=3,
        delays=(0.0, 0.0, 0.0, 0.02, 0.3),
        repeat_ratio=0.05,
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.regions = regions
        self.tenants = tenants
        self.demand = demand
        self.homes = homes
        self.delays = delays
        self.repeat_ratio = repeat_ratio
        self.sent = collections.defaultdict(list)
        self.rejected = collections.Counter()
        self.messages = 0
        self.bytes = 0
        # Pairs of hosts that do not reach each other.
        self.partition = frozenset()
        self.store = Store(world=self)
        self.configuration = topology.Configuration(
            version=1,
            routes=(),
            services={},
            limits=topology.CallerLimits(),
            authentication=topology.Authentication.KEYED,
            tenants={tenant.name: tenant for tenant in tenants},
        )
        # Share of each tenant's callers by region, equal by default.
        self.callers = {}
        self.nodes = []
        for region in regions:
            for number in range(nodes):
                self.nodes.append(
                    _Node(world=self, region=region, host=f"{region}-{number}")
                )

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self):
        """Let one step of time pass."""
        self.now += _STEP_S
        for node in self.rng.sample(self.nodes, len(self.nodes)):
            if node.active:
                self._run_node(node)

    def kill(self, node, seconds=3.0):
        """End a node's process; another one starts after some seconds."""
        if node.connection is not None:
            self._close(node.connection)
        for connection in list(node.followers.values()):
            connection.closed = True
        node.waiting, node.requests, node.running = [], [], []
        node.followers, node.connection = {}, None
        node.is_hub = False
        node.stops_at = None
        node.dead_until = node.seek_at = self.now + seconds
        node.start()

    def stop(self, node):
        """Let a node stop in order; another process starts after its end."""
        if node.stops_at is None and node.active:
            node.stops_at = self.now + _STOP_S
            if node.is_hub:
                self._step_down(node)

    def freeze(self, node, seconds):
        """Suspend a node's machine."""
        node.frozen_until = self.now + seconds

    def split(self, hosts):
        """Separate some hosts from all others; none ends the partition."""
        self.partition = frozenset(hosts)

    def hub_of(self, region):
        """Return a node that is a hub, None if there is none."""
        hubs = [
            node
            for node in self.nodes
            if node.region == region and node.is_hub and node.active
        ]
        return hubs[0] if hubs else None

    def largest_excess(self, tenant):
        """Return how far the requests exceed the limit in any window."""
        times = sorted(self.sent[tenant.name])
        bound = (
            tenant.rate * BOUNDS.quota_window + tenant.burst
        ) * 1.1 + BOUNDS.quota_slack
        first = 0
        worst = -bound
        for last, time in enumerate(times):
            while times[first] <= time - BOUNDS.quota_window:
                first += 1
            worst = max(worst, last - first + 1 - bound)
        return worst

    def _connected(self, one, other):
        return (one.host in self.partition) == (other.host in self.partition)

    def _run_node(self, node):
        if node.stops_at is not None and self.now >= node.stops_at:
            self.kill(node, seconds=0.5)
            return
        self._exchange(node)
        self._seek(node)
        node.quotas.observe(self._readiness(node))
        if node.is_hub:
            self._write_levels(node)
        if node.is_hub and self.now >= node.exchange_at:
            node.exchange_at = self.now + _region_quotas.EXCHANGE_INTERVAL_S
            node.quotas.exchange()
        # Orders are sent at least every 0.1 s, or at once without a token.
        if self.rng.random() < 0.4:
            node.quotas.client.order()
        if node.connection is None and not node.is_hub:
            node.quotas.client.order()
        self._serve(node)

    def _write_levels(self, node):
        """Let a hub write its levels, once it has read the store."""
        if node.host in self.partition:
            return
        if self.now - node.hub_since > _COPY_AGE_S:
            node.quotas.on_store_read()
        node.quotas.write_levels()

    def _readiness(self, node):
        if node.is_hub:
            node.readiness = self._announced(node.served_hosts())
        elif node.connection is not None:
            hub = node.connection.hub
            if self._connected(node, hub) and hub.active:
                node.readiness = self._announced(hub.served_hosts())
        return node.readiness

    def _announced(self, hosts):
        """Return whether some hosts are ready; those that stop say no."""
        return {
            node.host: node.stops_at is None
            for node in self.nodes
            if node.host in hosts
        }

    def _serve(self, node):
        client = node.quotas.client
        for attempt in list(node.running):
            ends_at, request, ran = attempt
            if self.now >= ends_at:
                node.running.remove(attempt)
                client.on_attempt_end(request, may_have_run=ran)
                client.release(request)
        for request in list(node.waiting):
            if client.confirm(request):
                node.waiting.remove(request)
                node.requests.append(request)
            elif self.now >= request.give_up_at:
                node.waiting.remove(request)
                self.rejected[request.tenant.name] += 1
        for request in list(node.requests):
            if self.now < request.send_at:
                continue
            node.requests.remove(request)
            if not client.confirm(request):
                # The proxy waits for another token and then for a server.
                request.give_up_at = self.now + _TOKEN_WAIT_S
                node.waiting.append(request)
                client.order()
                continue
            client.on_sent(request)
            ran = self.rng.random() < 0.9
            if ran:
                self.sent[request.tenant.name].append(self.now)
            node.running.append(
                (self.now + self.rng.expovariate(5), request, ran)
            )
        for tenant in self.tenants:
            for _ in range(self._arrivals(node, tenant)):
                queued = self.rng.choice((0.0, 0.0, self.rng.random() * 1.6))
                request = Request(
                    tenant=tenant,
                    send_at=self.now + queued,
                    give_up_at=self.now + _TOKEN_WAIT_S,
                )
                if client.take(request):
                    node.requests.append(request)
                else:
                    node.waiting.append(request)
                    client.order()

    def _arrivals(self, node, tenant):
        home = int(node.host.rpartition("-")[2]) < self.homes
        share = 0.95 / self.homes if home else 0.01
        callers = self.callers.get(node.region, 1 / len(self.regions))
        expected = self.demand[tenant.name] * share * callers * _STEP_S
        count = int(expected)
        return count + (self.rng.random() < expected - count)

    def _seek(self, node):
        """Find a hub for a node without one, or let it become the hub."""
        hubs = [
            other
            for other in self.nodes
            if other.region == node.region
            and other is not node
            and other.is_hub
            and other.active
            and other.stops_at is None
            and self._connected(node, other)
        ]
        if node.is_hub:
            # Hubs look for others each 1.5 s, those that stop each 0.3 s.
            gives_way = hubs and hubs[0].host < node.host
            chance = 0.02
            if node.stops_at is not None:
                gives_way, chance = bool(hubs), 0.07
            if gives_way and self.rng.random() < chance:
                self._step_down(node)
            return
        if node.connection is not None or self.now < node.seek_at:
            return
        if hubs:
            self._join(node, hubs[0])
        elif self.rng.random() < 0.05:
            node.is_hub = True
            node.hub_since = self.now
            node.quotas.start_hub(node.served_hosts)

    def _step_down(self, node):
        node.is_hub = False
        node.quotas.leave()
        for connection in list(node.followers.values()):
            connection.closed = True
        node.followers = {}

    def _join(self, node, hub):
        connection = _Connection(follower=node, hub=hub, now=self.now)
        node.connection = connection
        node.quotas.client.join_remote(
            lambda message: self._send(connection, connection.up, message)
        )

    def _send(self, connection, queue, message):
        if connection.closed:
            return
        self.messages += 1
        self.bytes += message.ByteSize() + 4
        data = message.SerializeToString()
        delay = self.rng.choice(self.delays)
        arrives = self.now + delay
        if queue:
            arrives = max(arrives, queue[-1][0])
        queue.append((arrives, data))
        if self.rng.random() < self.repeat_ratio:
            queue.append((arrives, data))

    def _exchange(self, node):
        connection = node.connection
        if connection is not None:
            self._receive_grants(node, connection)
        for connection in list(node.followers.values()):
            if connection.closed or (
                self.now - connection.heard_by_hub > _hub.PEER_TIMEOUT_S
            ):
                self._drop(node, connection)
        for other in self.nodes:
            connection = other.connection
            if connection is not None and connection.hub is node:
                self._receive_orders(node, connection)
        if node.is_hub:
            self._send_totals(node)

    def _receive_grants(self, node, connection):
        hub = connection.hub
        reached = self._connected(node, hub)
        if reached and hub.active and hub.is_hub:
            connection.heard_by_follower = self.now
        timed_out = (
            self.now - connection.heard_by_follower > _hub.PEER_TIMEOUT_S
        )
        if connection.closed or timed_out:
            self._close(connection)
            node.connection = None
            node.seek_at = self.now + self.rng.random()
            node.quotas.leave()
            return
        while (
            reached and connection.down and (connection.down[0][0] <= self.now)
        ):
            node.quotas.client.on_grant(
                _decode(connection.down.popleft()).quota_grant
            )

    def _receive_orders(self, hub, connection):
        if connection.closed or not hub.is_hub:
            connection.closed = True
            return
        follower = connection.follower
        if not self._connected(hub, follower):
            return
        if follower.host not in hub.followers:
            hub.followers[follower.host] = connection
            hub.quotas.hub.on_join(follower.host)
        if follower.active:
            connection.heard_by_hub = self.now
        while connection.up and connection.up[0][0] <= self.now:
            message = _decode(connection.up.popleft()).quota_request
            grant = hub.quotas.hub.serve_message(follower.host, message)
            if grant is not None:
                self._send(connection, connection.down, grant)

    def _send_totals(self, hub):
        if self.rng.random() >= _STEP_S / _hub.HEARTBEAT_INTERVAL_S:
            return
        totals = hub.quotas.hub.take_totals()
        if totals is not None:
            for host in hub.quotas.hub.totals_receivers():
                connection = hub.followers[host]
                self._send(connection, connection.down, totals)

    def _drop(self, hub, connection):
        connection.closed = True
        host = connection.follower.host
        if hub.followers.get(host) is connection:
            del hub.followers[host]
            hub.quotas.hub.on_leave(host)

    def _close(self, connection):
        """Close a connection at the follower; a partition hides it."""
        if self._connected(connection.follower, connection.hub):
            connection.closed = True


def _decode(entry):
    return node_pb2.PeerMessage.FromString(entry[1])
