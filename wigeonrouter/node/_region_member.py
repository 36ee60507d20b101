"""A node's role in its region.

One node of each region is the hub, the leader that reads the store. The
others follow it and get the store's changes from it. Nodes agree on the hub
by asking each other for their roles.
"""

import time

import gevent
from gevent import event
from gevent import server as gevent_server

from wigeonrouter import store
from wigeonrouter import topology
from wigeonrouter.node import _channel
from wigeonrouter.node import _follower
from wigeonrouter.node import _hub
from wigeonrouter.node import _peer_requests
from wigeonrouter.node import _roster
from wigeonrouter.node import _store_cache
from wigeonrouter.node import _store_memory
from wigeonrouter.node import _store_reader
from wigeonrouter.schema import node_pb2

# Delay before the store is listed again, which doubles up to the maximum.
# Hundreds of nodes may start while the store does not respond.
_MIN_LOAD_RETRY_S = 0.1
_MAX_LOAD_RETRY_S = 0.5
_FIRST_MESSAGE_TIMEOUT_S = 1.0
# A hub that this node lost is not followed again for this time.
_FAILED_HUB_AVOID_S = 2.0
_HUB_WAIT_S = 0.1
# After this number of waits for a better candidate that does not become the
# hub, this node becomes the hub itself.
_MAX_HUB_WAITS = 4
_HUB_CHECK_INTERVAL_S = 1.5
_REGISTER_CHECK_S = 2.0
_STARTUP_POLL_S = 0.05


class RegionMember:
    """Owns this node's role and its connections to the region's other nodes.

    Args:
      settings: topology.NodeSettings.
      feed: the adapter's interface to the store.
      cluster_state: ClusterState, which gets the store's records.
      is_ready: function that returns whether this node is ready for callers.
      rate_limits: function that returns a dict from instance to the requests
        per second that the backend server named to this node, None for a
        limit that has ended.
      events: events.EventLog.
      rng: random.Random, for the jitter of waits.
      clock: function that returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        settings,
        feed,
        cluster_state,
        is_ready,
        rate_limits,
        events,
        rng,
        clock=None,
    ):
        self._settings = settings
        self._feed = feed
        self._cluster_state = cluster_state
        self._is_ready = is_ready
        self._rate_limits = rate_limits
        self._events = events
        self._rng = rng
        self._clock = clock or time.monotonic
        self._store_cache = _store_cache.StoreCache(
            apply=self._apply,
            export_memory=self._export_memory,
            import_memory=self._import_memory,
        )
        self._role = topology.Role(kind=topology.RoleKind.UNDECIDED)
        self._hub = None
        # Dict from host to NodeState of the region's nodes.
        self._roster = {}
        self._peers = ()
        self._history = topology.RegionHistory()
        self._avoided_until = {}
        self._state_changed = event.Event()
        self._leaving = False
        self._hub_waits = 0
        # The hub that this node left because it does not reach the store.
        self._abandoned_hub = ""
        # The hub that this node should follow next, "" if none is known.
        self._successor = ""
        self._replaced = event.Event()
        self._reaches_store = False
        self._server = gevent_server.StreamServer(
            (settings.host, settings.peer_ports[0]), self._serve
        )

    @property
    def peers(self):
        """Tuple of the region's topology.Peers, including this node."""
        return self._peers

    @property
    def position(self):
        """store.Position that this node has applied."""
        return self._store_cache.position

    @property
    def is_hub(self):
        """Whether this node is the hub of its region."""
        return self._role.kind is topology.RoleKind.HUB

    @property
    def role(self):
        """topology.Role of this node."""
        return self._role

    def limit_share(self, service):
        """Return the share of its servers' rate limits this node may use."""
        if not self._is_ready():
            return 0.0
        routes = self._cluster_state.routes
        return self._history.limit_share(
            leading_services=routes.leading_services(service),
            own_host=self._settings.host,
            now=self._clock(),
        )

    def start(self):
        """Start accepting connections from other nodes."""
        self._server.start()
        self._on_roster(self._own_roster())

    def broadcast_state(self):
        """Notify the region that this node's state has changed."""
        self._state_changed.set()
        if self._hub is not None:
            self._hub.broadcast_roster()
        elif self._role.kind is topology.RoleKind.UNDECIDED:
            self._on_roster(self._own_roster())

    def reload(self, settings):
        """Apply changed topology.NodeSettings."""
        self._settings = settings
        self.broadcast_state()

    def leave(self):
        """Give up the role before this node stops.

        Followers of a leaving hub choose another one at once.
        """
        self._leaving = True
        self.broadcast_state()
        if self._hub is not None:
            self._hub.send_heartbeat(leaving=True)

    def kill(self):
        """Stop accepting other nodes and close the store client."""
        self._server.stop(timeout=0)
        self._feed.close()

    def keep_registered(self):
        """Register this node in each era of the store, until killed.

        Failed writes are logged and retried. The times of all nodes differ,
        since a restored store may have lost all registrations at once.
        """
        region, host = self._settings.place.region, self._settings.host
        registered_era = None
        while True:
            era = self._store_cache.position.era
            if self._cluster_state.is_registered(region, host):
                registered_era = era
            elif self._store_cache.filled and registered_era != era:
                try:
                    self._feed.register(region=region, host=host)
                    registered_era = era
                except store.StoreError as error:
                    self._events.notice("not-registered", error=str(error))
            if self._store_cache.filled:
                gevent.sleep(_REGISTER_CHECK_S * self._rng.uniform(0.5, 1.5))
            else:
                gevent.sleep(_STARTUP_POLL_S)

    def run(self):
        """Follow the store, directly or through a hub, until killed."""
        retry = _MIN_LOAD_RETRY_S
        while not self._store_cache.filled:
            self._load_snapshot(retry)
            retry = min(_MAX_LOAD_RETRY_S, 2 * retry)
        while True:
            self._run_one_role()

    @property
    def _port(self):
        return self._settings.peer_ports[0]

    def _load_snapshot(self, retry):
        """Load all items once, from the store or else from a seed node.

        If neither has them, wait for about `retry` seconds.

        A stale listing, which may be seconds old, is accepted because it is
        cheaper: the hub's first update, or the watch from the listing's
        revision on, has the newer changes.
        """
        try:
            listing = self._feed.list(stale=True)
            self._reaches_store = True
            self._cluster_state.on_store_contact()
            self._store_cache.replace_all(
                listing.items, listing.position, stale=True
            )
            return
        except store.StoreError as error:
            self._events.notice("store-lost", error=str(error))
        for host in self._settings.seeds:
            if host != self._settings.host and self._fetch_from_peer(host):
                return
        gevent.sleep(retry * self._rng.uniform(0.7, 1.3))

    def _fetch_from_peer(self, host):
        update = _peer_requests.fetch_update(
            host, port=self._port, position=self._store_cache.position
        )
        if update is None:
            return False
        self._store_cache.apply_update(update)
        self._events.notice(
            "content-from-peer",
            host=host,
            era=self._store_cache.position.era,
            revision=self._store_cache.position.revision,
        )
        return self._store_cache.filled

    def _run_one_role(self):
        decision = topology.decide_role(
            own_host=self._settings.host,
            order=self._candidate_order(),
            roles=self._query_roles(),
            excluded_hosts=self._avoided_hosts(),
            reaches_store=self._reaches_store,
        )
        should_wait = decision.action is topology.HubAction.WAIT
        self._hub_waits = self._hub_waits + 1 if should_wait else 0
        if should_wait and self._hub_waits <= _MAX_HUB_WAITS:
            gevent.sleep(_HUB_WAIT_S * self._rng.uniform(0.7, 1.3))
        elif decision.action is topology.HubAction.FOLLOW:
            self._run_as_follower(decision.hub)
        else:
            self._run_as_hub()

    def _candidate_order(self):
        hosts = self._cluster_state.hosts(self._settings.place.region)
        return topology.candidate_order(
            self._settings.place.region, hosts | {self._settings.host}
        )

    def _avoided_hosts(self):
        now = self._clock()
        self._avoided_until = {
            host: until
            for host, until in self._avoided_until.items()
            if until > now
        }
        return frozenset(self._avoided_until)

    def _query_roles(self):
        """Query some peers for their roles; return a dict by host."""
        avoided = self._avoided_hosts()
        hosts = [
            host
            for host in self._candidate_order()
            if host != self._settings.host and host not in avoided
        ]
        # Known to be a hub, while those that are asked may not know it.
        if self._successor in hosts:
            hosts.remove(self._successor)
            hosts.insert(0, self._successor)
        return _peer_requests.query_roles(hosts, port=self._port)

    def _run_as_hub(self):
        """Read the store and serve followers until another hub is better."""
        self._hub = _hub.Hub(
            store_cache=self._store_cache,
            own_state=self._own_state,
            on_roster=self._on_roster,
            expected_members=[
                state
                for host, state in self._roster.items()
                if host not in self._avoided_hosts()
            ],
        )
        self._successor = ""
        self._replaced.clear()
        self._set_role(topology.RoleKind.HUB, self._settings.host, True)
        self._hub.broadcast_roster()
        heartbeats = gevent.spawn(self._hub.run_heartbeats)
        reader = gevent.spawn(self._make_reader().run)
        try:
            while not reader.ready():
                replaced = self._replaced.wait(timeout=_HUB_CHECK_INTERVAL_S)
                if replaced or self._should_step_down():
                    return
        finally:
            if reader.exception is not None:
                self._events.notice(
                    "task-failed",
                    task="store-reader",
                    error=f"{type(reader.exception).__name__}:"
                    f" {reader.exception}",
                )
            reader.kill()
            heartbeats.kill()
            hub, self._hub = self._hub, None
            hub.send_heartbeat(leaving=True, successor=self._successor)
            self._set_role(topology.RoleKind.UNDECIDED, "", False)

    def _make_reader(self):
        return _store_reader.StoreReader(
            store_cache=self._store_cache,
            feed=self._feed,
            events=self._events,
            rng=self._rng,
            on_update=self._hub.broadcast_update,
            on_store_contact=self._on_store_contact,
            on_store_outage=self._on_store_outage,
            listing_due=self._cluster_state.listing_due,
        )

    def _should_step_down(self):
        order = self._candidate_order()
        if order[0] == self._settings.host and self._reaches_store:
            return False
        if not self._reaches_store:
            return self._other_hub_reaches_store()
        roles = self._query_roles()
        return topology.should_step_down(
            own_host=self._settings.host, order=order, roles=roles
        )

    def _on_store_contact(self):
        if not self._reaches_store:
            self._events.notice(
                "store-regained",
                era=self._store_cache.position.era,
                revision=self._store_cache.position.revision,
            )
        self._reaches_store = True
        self._cluster_state.on_store_contact()
        self._hub.set_store_reachable(True)
        self._set_role(topology.RoleKind.HUB, self._settings.host, True)
        if self._abandoned_hub:
            gevent.spawn(
                _peer_requests.announce_role,
                self._abandoned_hub,
                port=self._port,
                role=self._role,
            )
            self._abandoned_hub = ""

    def _on_hub_announced(self, role):
        """Step down if this node is a hub that does not reach the store."""
        if (
            self._hub is not None
            and not self._reaches_store
            and role.kind is topology.RoleKind.HUB
            and role.store_reachable
        ):
            self._successor = role.hub
            self._replaced.set()

    def _on_successor(self, hub):
        self._successor = hub

    def _on_hub_lost_store(self, hub):
        self._abandoned_hub = hub

    def _on_store_outage(self, error, failures):
        self._cluster_state.on_store_outage()
        if self._reaches_store or failures == 1:
            self._events.notice("store-lost", error=str(error))
        self._reaches_store = False
        self._hub.set_store_reachable(False)
        self._set_role(topology.RoleKind.HUB, self._settings.host, False)

    def _run_as_follower(self, hub):
        """Follow a hub until it fails, leaves or loses the store."""
        self._successor = self._abandoned_hub = ""
        follower = _follower.Follower(
            hub=hub,
            port=self._port,
            store_cache=self._store_cache,
            state_changed=self._state_changed,
            callbacks=_follower.FollowerCallbacks(
                own_state=self._own_state,
                roster=lambda: self._roster,
                on_roster=self._on_roster,
                on_heartbeat=lambda reachable: self._on_heartbeat(
                    hub, reachable
                ),
                on_successor=self._on_successor,
                on_store_lost=lambda: self._on_hub_lost_store(hub),
                has_better_hub=self._has_better_hub,
            ),
        )
        reason = "failed"
        try:
            reason = follower.run()
        finally:
            self._avoided_until[hub] = self._clock() + _FAILED_HUB_AVOID_S
            self._events.notice("hub-lost", hub=hub, reason=reason)
            self._set_role(topology.RoleKind.UNDECIDED, "", False)

    def _on_heartbeat(self, hub, store_reachable):
        if store_reachable:
            self._cluster_state.on_store_contact()
        else:
            self._cluster_state.on_store_outage()
        self._reaches_store = store_reachable
        self._set_role(topology.RoleKind.FOLLOWER, hub, store_reachable)

    def _has_better_hub(self):
        """Return whether to leave a hub that does not reach the store."""
        ready_hosts = {peer.host for peer in self._peers if peer.ready}
        checks_store = topology.should_check_store(
            own_host=self._settings.host,
            candidates=[
                host
                for host in self._candidate_order()
                if host in ready_hosts and host != self._role.hub
            ],
            rng=self._rng,
        )
        if checks_store and self._probe_store():
            return True
        return self._other_hub_reaches_store()

    def _probe_store(self):
        try:
            self._feed.check()
        except store.StoreError:
            return False
        self._reaches_store = True
        return True

    def _other_hub_reaches_store(self):
        return any(
            role.kind is topology.RoleKind.HUB and role.store_reachable
            for role in self._query_roles().values()
        )

    def _serve(self, sock, _):
        channel = _channel.Channel(sock=sock)
        try:
            message = channel.receive(timeout=_FIRST_MESSAGE_TIMEOUT_S)
            kind = message.WhichOneof("body")
            if kind == "role":
                self._on_hub_announced(
                    _peer_requests.decode_role(message.role)
                )
            elif kind == "join" and self._hub is not None:
                self._hub.serve(channel, message.join)
            elif kind == "fetch" and self._store_cache.filled:
                channel.send(
                    node_pb2.PeerMessage(
                        update=self._store_cache.update_since(
                            _store_cache.read_position(message.fetch)
                        )
                    ),
                    timeout=_peer_requests.REQUEST_TIMEOUT_S,
                )
            else:
                channel.send(
                    _peer_requests.encode_role(self._role),
                    timeout=_peer_requests.REQUEST_TIMEOUT_S,
                )
        except _channel.ChannelClosed:
            pass
        finally:
            channel.close()

    def _set_role(self, kind, hub, store_reachable):
        if self._leaving:
            kind, hub = topology.RoleKind.UNDECIDED, ""
        role = topology.Role(
            kind=kind, hub=hub, store_reachable=store_reachable
        )
        if (role.kind, role.hub) != (self._role.kind, self._role.hub):
            self._events.notice("role", kind=kind.value, hub=hub)
        self._role = role

    def _own_state(self):
        return _roster.own_state(
            settings=self._settings,
            ready=self._is_ready(),
            rate_limits=self._rate_limits(),
        )

    def _own_roster(self):
        return {self._settings.host: self._own_state()}

    def _on_roster(self, roster):
        self._roster = roster
        self._peers = _roster.to_peers(roster)
        self._history.update(self._peers, self._clock())

    def _apply(self, items, scope):
        self._cluster_state.apply(self._feed.decode(items, scope=scope))

    def _export_memory(self):
        return _store_memory.encode(self._cluster_state.memory)

    def _import_memory(self, message):
        memory = _store_memory.decode(message)
        self._cluster_state.recall_departures(memory.departures)
        if memory.configuration:
            self._cluster_state.recall_configuration(
                self._feed.decode_configuration(memory.configuration)
            )
