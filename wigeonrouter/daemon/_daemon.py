"""Creates the components of one daemon and manages their life cycle."""

import random
import time

import gevent
from gevent import pywsgi
from gevent import socket

from wigeonrouter import administration
from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import health
from wigeonrouter import membership
from wigeonrouter import observability
from wigeonrouter import request_path
from wigeonrouter import selection
from wigeonrouter import store as store_api
from wigeonrouter.daemon import _failures
from wigeonrouter.daemon import _reload
from wigeonrouter.schema import peer_pb2

_HOUSEKEEPING_INTERVAL_S = 1.0
# sleep(0) lets other greenlets run but processes neither timers nor sockets.
_BUILD_PAUSE_S = 0.001
_DRAIN_POLL_INTERVAL_S = 0.05
# Time for gossip to reach peers that missed the announcement of the shutdown.
# Until then they still return this daemon to callers.
_GOSSIP_CONVERGENCE_S = 2.0
# If requests still arrive once cached entry responses have expired, shutdown
# waits until none has arrived for _QUIET_PERIOD_S, but no longer than
# _MAX_LATE_CALLERS_WAIT_S.
_QUIET_PERIOD_S = 1.0
_MAX_LATE_CALLERS_WAIT_S = 60.0
_ADMIN_STOP_TIMEOUT_S = 3.0

_log = observability.logger("daemon")


class _AdminHandler(pywsgi.WSGIHandler):
    """Disables Nagle's algorithm, which delays small responses by 40 ms."""

    def handle(self):
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()


class Daemon:
    """The components of one wigeonrouterd process.

    Args:
      settings: settings.DaemonSettings.
      log_output: observability.LogOutput to reconfigure on a reload, or
        None.
      rng: random.Random, or None for a new one.
    Raises:
      StartFailed: the settings cannot work.
      CannotListen: an address is in use or not an address of this VM.
    """

    def __init__(self, *, settings, log_output=None, rng=None):
        self._settings = settings
        self._log_output = log_output
        # Callers may have cached entry responses before a reload shortened
        # their lifetime.
        self._max_entry_ttl = settings.entry_ttl
        self._leaving = self._was_ready = False
        self._member_states = {}
        self._rng = rng or random.Random()
        self._replica = configuration.Replica(
            pause=lambda: gevent.sleep(_BUILD_PAUSE_S)
        )
        self._metrics = observability.Metrics()
        self._request_log = observability.RequestLog(
            lines_per_second=settings.log_lines_per_second
        )
        self._store = _open_store(settings)
        self._tls = _reload.load_tls(settings)
        started_ms = int(time.time() * 1000)
        own = core.Member(
            daemon_id=settings.daemon_id,
            incarnation=started_ms,
            instance=started_ms,
            state=core.MemberState.STARTING,
            place=settings.place,
            caller_address=settings.caller_address,
            admin_address=settings.admin_address,
            peer_address=settings.peer_address,
        )
        self._gossip = membership.Gossip(
            own=own,
            seeds=settings.seeds,
            replica=self._replica,
            rng=self._rng,
            claim_handler=self._handle_claim,
            tls=self._tls,
        )
        self._replication = membership.Replication(
            store=self._store,
            replica=self._replica,
            gossip=self._gossip,
            seeds=settings.seeds,
            rng=self._rng,
            policies=selection.policy_names(),
            on_ready=self._become_ready,
        )
        with _failures.convert_listen_errors(
            "peer_address", settings.peer_address
        ):
            self._peer_server = membership.PeerServer(
                address=settings.peer_address,
                servicer=self._gossip,
                tls=self._tls,
            )
        self._handler = request_path.RequestHandler(
            place=settings.place,
            own_member=lambda: self._gossip.table.own,
            claim_from_peer=self._claim_from_peer,
            observe=self._observe,
            announce=lambda *announcement: self._drain_tracker.announce(
                *announcement
            ),
            rng=self._rng,
        )
        self._drain_tracker = health.DrainTracker(
            gossip=self._gossip,
            store=self._store,
            replica=self._replica,
            apply_draining=self._handler.set_draining,
        )
        self._prober = health.Prober(
            place=settings.place,
            daemon_id=settings.daemon_id,
            live_members=lambda: self.table.alive,
            dispatchers=lambda: self._handler.dispatchers,
        )
        with _failures.convert_listen_errors(
            "caller_address", settings.caller_address
        ):
            self._caller_server = request_path.CallerServer(
                address=settings.caller_address,
                handler=self._handler,
            )
        self._admin = pywsgi.WSGIServer(
            (settings.admin_address.host, settings.admin_address.port),
            administration.build_app(daemon=self),
            handler_class=_AdminHandler,
            log=None,
        )
        self._replica.subscribe(
            lambda replica: self._handler.reconfigure(replica.services)
        )
        self._replica.subscribe(_log_revision)
        self._tasks = []

    @property
    def settings(self):
        """settings.DaemonSettings."""
        return self._settings

    @property
    def replica(self):
        """configuration.Replica."""
        return self._replica

    @property
    def table(self):
        """membership.MemberTable."""
        return self._gossip.table

    @property
    def gossip(self):
        """membership.Gossip."""
        return self._gossip

    @property
    def metrics(self):
        """observability.Metrics."""
        return self._metrics

    @property
    def rng(self):
        """random.Random of this daemon."""
        return self._rng

    @property
    def configured(self):
        """Whether the latest available configuration has been applied."""
        return self._replication.ready

    @property
    def ready(self):
        """Whether callers may be sent here."""
        return self._was_ready and not self._leaving

    def start(self):
        """Start all servers and tasks.

        The port for callers opens once the daemon has a configuration. Until
        then connections to it are refused, and peers do not return this
        daemon to callers.

        Raises:
          CannotListen: an address is in use or not an address of this VM.
        """
        settings = self._settings
        with _failures.convert_listen_errors(
            "admin_address", settings.admin_address
        ):
            self._admin.start()
        self._peer_server.start()
        self._gossip.start()
        self._replication.start()
        self._tasks = [
            gevent.spawn(self._housekeep),
            gevent.spawn(self._prober.run),
            gevent.spawn(self._drain_tracker.run),
        ]
        _log.info(
            "started",
            extra={
                "daemon_id": settings.daemon_id,
                "incarnation": self.table.own.incarnation,
                "caller_address": str(settings.caller_address),
                "admin_address": str(settings.admin_address),
                "peer_address": str(settings.peer_address),
            },
        )

    def stop(self):
        """Shut down gracefully, without aborting requests.

        Callers may cache an entry response for its lifetime. The daemon goes
        on serving for at least that time after it has been removed from
        these responses.
        """
        self._leaving = True
        notified, attempted = self._gossip.leave()
        _log.info(
            "leaving", extra={"peers_told": notified, "peers": attempted}
        )
        self._caller_server.drain()
        if self._was_ready:
            self._wait_for_late_callers()
        self._caller_server.stop()
        gevent.killall(self._tasks)
        self._replication.stop()
        self._gossip.stop()
        self._admin.stop(timeout=_ADMIN_STOP_TIMEOUT_S)
        self._peer_server.stop(grace=1)
        self._store.close()
        _log.info("stopped")

    def reload(self, requested):
        """Apply the settings that can change without a restart.

        If the TLS files cannot be loaded, nothing changes.

        Args:
          requested: settings.DaemonSettings from the changed file.
        """
        plan = _reload.plan_reload(current=self._settings, requested=requested)
        if self._tls is not None:
            try:
                self._tls.load(**_reload.tls_files(plan.settings))
            except OSError as error:
                _log.error(
                    "TLS files rejected, nothing changed",
                    extra={"error": str(error)},
                )
                return
            self._gossip.renew_channels()
        self._settings = plan.settings
        self._max_entry_ttl = max(self._max_entry_ttl, plan.settings.entry_ttl)
        if self._log_output is not None:
            self._log_output.configure(
                log_format=plan.settings.log_format,
                level=plan.settings.log_level,
            )
        self._request_log.configure(
            lines_per_second=plan.settings.log_lines_per_second
        )
        _log.info(
            "settings reloaded", extra={"changed": ",".join(plan.changed)}
        )
        if plan.restart_required:
            _log.warning(
                "settings need a restart and were kept",
                extra={"kept": ",".join(plan.restart_required)},
            )

    def expose_metrics(self):
        """Return the metrics in the Prometheus text format, as bytes."""
        return observability.expose(
            metrics=self._metrics,
            gauges=observability.Gauges(
                revision=self._replica.revision,
                ready=self.ready,
                members=observability.count_states(self.table.members),
                services=tuple(
                    observability.ServiceGauges(
                        service=name,
                        queue_length=dispatcher.queue_length,
                        in_flight=sum(
                            view.in_flight for view in dispatcher.views
                        ),
                    )
                    for name, dispatcher in self._handler.dispatchers.items()
                ),
                unanswered_requests=self._caller_server.requests_in_progress,
            ),
        )

    def accept(self, proposal):
        """Commit a change and push it to peers; see Replication.accept."""
        return self._replication.accept(proposal)

    def drain_server(self, *, address, draining, author):
        """Start or end draining a backend server.

        The state spreads to the other daemons by gossip, without the store.

        Args:
          address: core.Address of the server.
          draining: True to start, False to end.
          author: name of the operator's token; not used here.
        """
        self._gossip.assert_fact(
            address=address,
            state="draining" if draining else "active",
            source="operator",
        )

    def _become_ready(self):
        """Open the port for callers and announce this daemon to peers."""
        if self._leaving:
            return
        self._caller_server.start()
        self._was_ready = True
        notified, attempted = self._gossip.become_ready()
        _log.info(
            "ready",
            extra={
                "revision": self._replica.revision,
                "services": len(self._replica.services),
                "peers_told": notified,
                "peers": attempted,
            },
        )

    def _wait_for_late_callers(self):
        """Wait until callers have stopped sending requests."""
        earliest = (
            time.monotonic() + self._max_entry_ttl + _GOSSIP_CONVERGENCE_S
        )
        latest = earliest + _MAX_LATE_CALLERS_WAIT_S
        while True:
            now = time.monotonic()
            quiet = now - self._caller_server.last_arrival >= _QUIET_PERIOD_S
            if now >= earliest and (quiet or now >= latest):
                break
            gevent.sleep(_DRAIN_POLL_INTERVAL_S)

    def _observe(self, record):
        """Record a finished request in the metrics and the request log."""
        self._metrics.observe(record)
        self._request_log.add(record)

    def _housekeep(self):
        """Run the periodic tasks until the greenlet is killed."""
        while True:
            gevent.sleep(_HOUSEKEEPING_INTERVAL_S)
            self._handler.close_idle_connections()
            self._metrics.rotate()
            self._request_log.flush()
            self._log_member_changes()

    def _log_member_changes(self):
        """Log the members whose state changed since the last call."""
        states = {
            member.daemon_id: (member.state.value, member.incarnation)
            for member in self.table.members
        }
        for daemon_id, (state, incarnation) in states.items():
            if self._member_states.get(daemon_id) != (state, incarnation):
                _log.info(
                    "member changed",
                    extra={
                        "daemon_id": daemon_id,
                        "state": state,
                        "incarnation": incarnation,
                    },
                )
        for daemon_id in self._member_states.keys() - states.keys():
            _log.info("member forgotten", extra={"daemon_id": daemon_id})
        self._member_states = states

    def _claim_from_peer(self, parsed, request_id):
        """Claim a request id at the daemon that it names.

        Returns:
          The result of Gossip.claim, or None if the daemon is not a member.
        """
        member = self.table.find(parsed.daemon_id)
        if member is None:
            return None
        return self._gossip.claim(member=member, request_id=request_id)

    def _handle_claim(self, request):
        """Return the peer_pb2.ClaimReply to a peer's ClaimRequest."""
        known_outcome = self._handler.deduplicator.handle_claim(
            request.request_id, request.claimant
        )
        return peer_pb2.ClaimReply(
            seen=known_outcome is not None, outcome=known_outcome or ""
        )


def _open_store(settings):
    adapters = store_api.adapter_names()
    if settings.store_adapter not in adapters:
        raise _failures.StartFailed(
            f"store.adapter: {settings.store_adapter} is not known; "
            f"allowed: {', '.join(adapters)}"
        )
    return store_api.open_store(
        name=settings.store_adapter,
        address=settings.store_address,
        timeout=settings.store_timeout,
    )


def _log_revision(replica):
    _log.info(
        "configuration changed",
        extra={
            "revision": replica.revision,
            "services": len(replica.services),
        },
    )
