"""A node's role in its region.

One node of each region is the hub, the leader that reads the store. The
others follow it and get the store's changes from it. Nodes agree on the hub
by asking each other for their roles.
"""

import time

import gevent
from gevent import event

from wigeonrouter import store
from wigeonrouter import topology
from wigeonrouter.node import _follower
from wigeonrouter.node import _hub
from wigeonrouter.node import _hub_search
from wigeonrouter.node import _hub_succession
from wigeonrouter.node import _peer_requests
from wigeonrouter.node import _peer_server
from wigeonrouter.node import _region_quotas
from wigeonrouter.node import _registrar
from wigeonrouter.node import _roster
from wigeonrouter.node import _store_copy

_HUB_WAIT_S = 0.1
# After this number of waits for a better candidate that does not become the
# hub, this node becomes the hub itself.
_MAX_HUB_WAITS = 4


class RegionMember:
    """Owns this node's role and its connections to the region's other nodes.

    Args:
      settings: topology.NodeSettings.
      feed: the adapter's interface to the store.
      cluster_state: ClusterState, which gets the store's records.
      is_ready: function that returns whether this node is ready for callers.
      facts: function that returns this node's roster.NodeFacts.
      check_server: function from the instance of a backend server to the
        verdict of a ServerCheckResult.
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
        facts,
        check_server,
        events,
        rng,
        clock=None,
    ):
        self._settings = settings
        self._feed = feed
        self._cluster_state = cluster_state
        self._is_ready = is_ready
        self._facts = facts
        self._events = events
        self._rng = rng
        self._clock = clock or time.monotonic
        self._role = topology.Role(kind=topology.RoleKind.UNDECIDED)
        self._hub = None
        # Dict from host to NodeState of the region's nodes.
        self._roster = {}
        self._peers = ()
        # When the roster was last known to be current.
        self._roster_confirmed_at = self._clock()
        self._history = topology.RegionHistory()
        self._state_changed = event.Event()
        self._leaving = False
        self._hub_waits = 0
        # The hub that this node left because it does not reach the store.
        self._abandoned_hub = ""
        self._store_copy = _store_copy.StoreCopy(
            settings=settings,
            feed=feed,
            cluster_state=cluster_state,
            role=lambda: self._role,
            on_update=self._on_update_read,
            on_read=self._on_copy_read,
            events=events,
            rng=rng,
            clock=self._clock,
        )
        self._reaches_store = False
        self._quotas = _region_quotas.RegionQuotas(
            settings=settings,
            cluster_state=cluster_state,
            feed=feed,
            peers=lambda: self._peers,
            store_era=lambda: self._store_copy.position.era,
            events=events,
            rng=rng,
            clock=self._clock,
        )
        self._hub_search = _hub_search.HubSearch(
            settings=settings,
            cluster_state=cluster_state,
            clock=self._clock,
        )
        self._succession = _hub_succession.HubSuccession(
            settings=settings,
            hub_search=self._hub_search,
            role=lambda: self._role,
            reaches_store=lambda: self._reaches_store,
            is_leaving=lambda: self._leaving,
        )
        self._registrar = _registrar.Registrar(
            settings=settings,
            feed=feed,
            cluster_state=cluster_state,
            store_cache=self._store_copy.cache,
            events=events,
            rng=rng,
        )
        self._server = _peer_server.PeerServer(
            settings=settings,
            store_cache=self._store_copy.cache,
            role=lambda: self._role,
            hub=lambda: self._hub,
            check_server=check_server,
            on_role_announced=self._on_hub_announced,
        )

    @property
    def peers(self):
        """Tuple of the region's topology.Peers, including this node."""
        return self._peers

    @property
    def roster_age(self):
        """Seconds since the roster was known to be current, 0 on the hub."""
        if self._hub is not None:
            return 0.0
        return self._clock() - self._roster_confirmed_at

    @property
    def position(self):
        """store.Position that this node has applied."""
        return self._store_copy.position

    @property
    def copy_age(self):
        """Seconds for which the copy of the store may be outdated."""
        return self._store_copy.age

    @property
    def assured_copy_age(self):
        """Like copy_age, but infinite while nobody can tell how old it is.

        A node that starts while the store is down gets a copy of any age from
        its peers.
        """
        if self._store_copy.proven_age is None and not self._reaches_store:
            return float("inf")
        return self.copy_age

    @property
    def quotas(self):
        """RegionQuotas."""
        return self._quotas

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
        self._store_copy.reload(settings)
        self._quotas.reload(settings)
        self.broadcast_state()

    def leave(self):
        """Give up the role before this node stops.

        Followers of a leaving hub choose another one at once.
        """
        self._leaving = True
        self.broadcast_state()
        if self._hub is not None:
            self._hub.send_heartbeat(leaving=True)
            self._succession.check_soon()

    def kill(self):
        """Stop accepting other nodes and close the store client."""
        self._server.kill()
        self._feed.close()

    def keep_registered(self):
        """Keep this node registered in the store, until killed."""
        self._registrar.run()

    def keep_copy_current(self):
        """Keep the copy of the store current, until killed."""
        self._store_copy.keep_current()

    def run(self):
        """Follow the store, directly or through a hub, until killed."""
        if self._store_copy.load():
            self._reaches_store = True
            self._cluster_state.on_store_contact()
        while True:
            self._run_one_role()

    @property
    def _port(self):
        return self._settings.peer_ports[0]

    def _run_one_role(self):
        decision = self._hub_search.decide_role(
            reaches_store=self._reaches_store
        )
        should_wait = decision.action is topology.HubAction.WAIT
        self._hub_waits = self._hub_waits + 1 if should_wait else 0
        if should_wait and self._hub_waits <= _MAX_HUB_WAITS:
            gevent.sleep(_HUB_WAIT_S * self._rng.uniform(0.7, 1.3))
        elif decision.action is topology.HubAction.FOLLOW:
            self._run_as_follower(decision.hub)
        else:
            self._run_as_hub()

    def _run_as_hub(self):
        """Read the store and serve followers until another hub is better."""
        self._hub = _hub.Hub(
            store_cache=self._store_copy.cache,
            own_state=self._own_state,
            on_roster=self._on_roster,
            copy_age=lambda: self._store_copy.proven_age,
            expected_members=[
                state
                for host, state in self._roster.items()
                if host not in self._hub_search.avoided_hosts()
            ],
        )
        hub = self._hub
        hub.grant_quotas_from(self._quotas.start_hub(lambda: hub.served_hosts))
        self._succession.begin()
        self._set_role(topology.RoleKind.HUB, self._settings.host, True)
        self._hub.broadcast_roster()
        heartbeats = gevent.spawn(self._hub.run_heartbeats)
        reader = gevent.spawn(
            self._store_copy.make_reader(
                on_store_contact=self._on_store_contact,
                on_store_outage=self._on_store_outage,
                on_confirmed=self._quotas.on_store_read,
            ).run
        )
        try:
            while not reader.ready():
                self._succession.wait()
                if self._succession.should_step_down():
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
            self._quotas.leave()
            self._hub = None
            hub.send_heartbeat(
                leaving=True, successor=self._hub_search.successor
            )
            self._set_role(topology.RoleKind.UNDECIDED, "", False)

    def _on_store_contact(self):
        if not self._reaches_store:
            self._events.notice(
                "store-regained",
                era=self._store_copy.position.era,
                revision=self._store_copy.position.revision,
            )
        self._reaches_store = True
        self._cluster_state.on_store_contact()
        self._hub.set_store_reachable(True)
        self._set_role(topology.RoleKind.HUB, self._settings.host, True)
        if self._abandoned_hub:
            self._succession.announce(self._abandoned_hub)
            self._abandoned_hub = ""

    def _on_copy_read(self):
        if self._hub is not None:
            self._hub.announce_proof()

    def _on_update_read(self, update):
        if self._hub is not None:
            self._hub.broadcast_update(update)

    def _on_hub_announced(self, role):
        if self._hub is not None and role.kind is topology.RoleKind.HUB:
            self._succession.on_announced(role)

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
        self._hub_search.prefer("")
        self._abandoned_hub = ""
        follower = _follower.Follower(
            hub=hub,
            port=self._port,
            store_cache=self._store_copy.cache,
            state_changed=self._state_changed,
            callbacks=_follower.FollowerCallbacks(
                own_state=self._own_state,
                roster=lambda: self._roster,
                on_roster=self._on_roster,
                on_heartbeat=lambda reachable: self._on_heartbeat(
                    hub, reachable
                ),
                on_confirmed=self._store_copy.confirm,
                on_successor=self._hub_search.prefer,
                on_store_lost=lambda: self._on_hub_lost_store(hub),
                has_better_hub=self._has_better_hub,
                on_joined=self._quotas.client.join_remote,
                on_quota_grant=self._quotas.client.on_grant,
                notice=self._events.notice,
            ),
        )
        reason = "failed"
        try:
            reason = follower.run()
        except gevent.GreenletExit:
            reason = ""
            raise
        finally:
            self._leave_hub(hub, reason)

    def _leave_hub(self, hub, reason):
        """Stop following a hub.

        Args:
          reason: text for the log, "" if this node itself ends.
        """
        self._quotas.leave()
        self._hub_search.avoid(hub)
        if reason:
            self._events.notice("hub-lost", hub=hub, reason=reason)
        self._set_role(topology.RoleKind.UNDECIDED, "", False)

    def _on_heartbeat(self, hub, store_reachable):
        self._roster_confirmed_at = self._clock()
        if store_reachable:
            self._cluster_state.on_store_contact()
        else:
            self._cluster_state.on_store_outage()
        self._reaches_store = store_reachable
        self._set_role(topology.RoleKind.FOLLOWER, hub, store_reachable)

    def _has_better_hub(self):
        """Return whether to leave a hub that does not reach the store."""
        if self._can_reach_store() and _peer_requests.may_take_over(
            self._role.hub, port=self._port, own_host=self._settings.host
        ):
            self._reaches_store = True
            return True
        return self._hub_search.other_hub_reaches_store()

    def _can_reach_store(self):
        """Return whether this node reaches the store, if it is to check."""
        if self._store_copy.reaches_store:
            return True
        ready_hosts = {peer.host for peer in self._peers if peer.ready}
        checks_store = topology.should_check_store(
            own_host=self._settings.host,
            candidates=[
                host
                for host in self._hub_search.candidate_order()
                if host in ready_hosts and host != self._role.hub
            ],
            rng=self._rng,
        )
        if not checks_store:
            return False
        try:
            self._feed.check()
        except store.StoreError:
            return False
        return True

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
        return _roster.own_state(settings=self._settings, facts=self._facts())

    def _own_roster(self):
        return {self._settings.host: self._own_state()}

    def _on_roster(self, roster):
        self._roster_confirmed_at = self._clock()
        self._roster = roster
        self._peers = _roster.to_peers(roster)
        self._history.update(self._peers, self._clock())
        self._quotas.observe({peer.host: peer.ready for peer in self._peers})
