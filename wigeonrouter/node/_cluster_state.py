"""The configuration, backend servers and nodes that a node knows of.

Applies store records in order. The configuration never reverts to an older
version, and an unreadable record does not affect the others.
"""

import time

from gevent import event

from wigeonrouter import placement
from wigeonrouter import topology


class ClusterState:
    """Owns the configuration in force and the server directory.

    Args:
      events: events.EventLog.
      on_change: called without arguments after each change.
    """

    def __init__(self, *, events, on_change, clock=time.monotonic):
        self._events = events
        self._on_change = on_change
        self._clock = clock
        self._configuration = None
        self._configured = event.Event()
        self._routes = topology.RouteTable(())
        self._directory = topology.ServerDirectory()
        self._evacuations = topology.Evacuations()
        # The version in the store, which may have lost the one in force.
        self._stored_version = None
        self._encoded_configuration = b""
        # Hosts of nodes by region, also of those that the store has lost.
        self._hosts = {}
        self._registered_nodes = set()
        # Pairs of region and host of the nodes that authenticate requests.
        self._key_checkers = set()
        self._caller_timeouts = {}
        self._crash_history = placement.CrashHistory()
        self._stored_crashes = set()
        self._quota_shares = None
        # Dict from region to its QuotaDemandWritten.
        self._quota_demands = {}
        # Dict from region to its QuotaLevelsWritten.
        self._quota_levels = {}

    @property
    def configuration(self):
        """topology.Configuration in force, None until one is known."""
        return self._configuration

    @property
    def routes(self):
        """topology.RouteTable in force."""
        return self._routes

    @property
    def caller_timeouts(self):
        """Dict from route to its callers' usual timeout, seconds."""
        return self._caller_timeouts

    @property
    def directory(self):
        """topology.ServerDirectory."""
        return self._directory

    @property
    def evacuated(self):
        """Frozenset of the evacuated failure domains."""
        return self._evacuations.evacuated

    @property
    def servers(self):
        """List of all topology.KnownServers, with their evacuations."""
        return [
            self._evacuations.mark(known)
            for known in self._directory.known.values()
        ]

    @property
    def crash_history(self):
        """placement.CrashHistory of all nodes."""
        return self._crash_history

    @property
    def stored_crashes(self):
        """Set of the core.Crashes that the store has."""
        return self._stored_crashes

    @property
    def quota_shares(self):
        """topology.QuotaSharesWritten, None without an entry."""
        return self._quota_shares

    @property
    def quota_demands(self):
        """Tuple of the regions' topology.QuotaDemandWritten."""
        return tuple(self._quota_demands.values())

    def quota_levels(self, region):
        """Return a region's topology.QuotaLevelsWritten, None without one."""
        return self._quota_levels.get(region)

    def wait_configured(self, timeout):
        """Wait for a configuration, for at most `timeout` seconds."""
        self._configured.wait(timeout=timeout)

    def hosts(self, region):
        """Return the frozenset of hosts registered as nodes of a region."""
        return frozenset(self._hosts.get(region, ()))

    def remote_hosts(self, region, home_regions=None):
        """Return the set of hosts registered as nodes of other regions.

        Args:
          region: the region that is left out.
          home_regions: the only regions to look in, None for all.
        """
        return {
            host
            for other, hosts in self._hosts.items()
            if other != region and placement.allows_region(home_regions, other)
            for host in hosts
        }

    def remote_key_checkers(self, region, home_regions=None):
        """Return the remote_hosts() that authenticate requests."""
        checkers = {host for _, host in self._key_checkers}
        return self.remote_hosts(region, home_regions) & checkers

    def is_registered(self, region, host):
        """Return whether the store lists a node, as this build registers."""
        node = (region, host)
        return node in self._registered_nodes and node in self._key_checkers

    @property
    def memory(self):
        """topology.StoreMemory of what a restored store has lost."""
        lost = (
            self._configuration is not None
            and self._stored_version != self._configuration.version
        )
        return topology.StoreMemory(
            configuration=self._encoded_configuration if lost else b"",
            departures=self._directory.departures,
        )

    def recall_departures(self, departures):
        """Apply the topology.Departures that another node has seen."""
        self._directory.recall(departures, self._clock())

    def recall_configuration(self, record):
        """Apply a configuration that the store has lost.

        Args:
          record: topology.ConfigurationWritten or ConfigurationRejected.
        """
        if isinstance(record, topology.ConfigurationWritten):
            self._take_newer(record)
            self._on_change()

    def listing_due(self):
        """Return whether the store should be listed, to end doubts."""
        return self._directory.listing_due(self._clock())

    def on_store_outage(self):
        """Record that the store is unreachable."""
        self._directory.on_store_outage()

    def on_store_contact(self):
        """Record that the store is reachable."""
        self._directory.on_store_contact(self._clock())

    def apply(self, content):
        """Apply the store's records or changes (topology.StoreContent)."""
        now = self._clock()
        scope = content.scope
        listed = scope is not topology.ContentScope.CHANGES
        if listed:
            self._registered_nodes = set()
            self._quota_shares = None
            self._quota_demands = {}
            self._quota_levels = {}
            self._replace_crashes(content.records, scope)
            self._replace_registrations(content.records, scope, now)
            self._replace_evacuations(content.records, now)
        else:
            self._directory.remove(_removed_instances(content.records), now)
        for record in content.records:
            self._apply_record(record, now, listed)
        self._on_change()

    def expire_servers(self):
        """Remove servers whose lapsed registrations were not renewed."""
        if self._directory.expire(self._clock()):
            self._events.notice("lapsed-servers-forgotten")
            self._on_change()

    def _apply_record(self, record, now, listed):
        if isinstance(record, topology.ConfigurationWritten):
            self._apply_configuration(record)
        elif isinstance(record, topology.RegistrationWritten):
            self._apply_registration(record, now, listed)
        elif isinstance(record, topology.RegistrationRemoved):
            self._events.notice(
                "server-gone",
                instance=record.instance,
                revision=record.revision,
                reason=record.reason,
            )
        elif isinstance(
            record, (topology.EvacuationWritten, topology.EvacuationRemoved)
        ):
            self._log_evacuations(
                lambda: self._evacuations.apply(record, now),
                revision=record.revision,
            )
        elif isinstance(record, topology.NodeWritten):
            self._apply_node(record)
        elif isinstance(record, topology.CallerTimeoutLearned):
            self._caller_timeouts[record.route] = record.seconds
        elif isinstance(record, topology.CrashStored):
            self._apply_crash(record, now)
        elif isinstance(record, topology.QuotaSharesWritten):
            self._quota_shares = record
        elif isinstance(record, topology.QuotaDemandWritten):
            self._quota_demands[record.region] = record
        elif isinstance(record, topology.QuotaLevelsWritten):
            self._quota_levels[record.region] = record
        elif isinstance(record, topology.NodeRemoved):
            self._hosts.get(record.region, set()).discard(record.host)
            self._registered_nodes.discard((record.region, record.host))
        elif isinstance(record, topology.ConfigurationRejected):
            self._events.notice(
                "configuration-rejected",
                revision=record.revision,
                reason=record.reason,
            )

    def _apply_node(self, record):
        node = (record.region, record.host)
        self._hosts.setdefault(record.region, set()).add(record.host)
        self._registered_nodes.add(node)
        if record.checks_keys:
            self._key_checkers.add(node)
        else:
            self._key_checkers.discard(node)

    def _replace_registrations(self, records, scope, now):
        """Apply which servers a listing has, before its records.

        A restored store may have lost the hosts of nodes and the timeouts of
        callers. The hosts are kept, and the timeouts are written again.
        """
        instances = _registered_instances(records)
        if scope is topology.ContentScope.COMPLETE:
            self._hosts = {}
            self._directory.retain_only(instances, now)
        else:
            self._caller_timeouts = {}
            self._directory.on_store_restored(instances, now)

    def _replace_evacuations(self, records, now):
        """Apply which failure domains a listing evacuates.

        Also a restored store replaces them. It states what the operator wants
        as of now, and one that is taken back later is removed there.
        """
        evacuated = {
            record.failure_domain
            for record in records
            if isinstance(record, topology.EvacuationWritten)
        }
        self._log_evacuations(
            lambda: self._evacuations.replace(evacuated, now), revision=None
        )

    def _log_evacuations(self, change, *, revision):
        """Change the evacuations and log what differs.

        Args:
          change: function that changes them.
          revision: revision of the change, None for a listing.
        """
        before = self.evacuated
        if not change():
            return
        for name, failure_domains in (
            ("failure-domain-evacuated", self.evacuated - before),
            ("failure-domain-back", before - self.evacuated),
        ):
            for failure_domain in sorted(failure_domains):
                self._events.notice(
                    name, failure_domain=failure_domain, revision=revision
                )

    def _replace_crashes(self, records, scope):
        """Drop crashes that the store lists no longer.

        A restored store may have lost them, so they go on to count.
        """
        listed = {
            record.crash
            for record in records
            if isinstance(record, topology.CrashStored)
        }
        if scope is topology.ContentScope.COMPLETE:
            for crash in self._stored_crashes - listed:
                self._crash_history.remove(crash)
        self._stored_crashes &= listed

    def _apply_crash(self, record, now):
        if record.removed:
            self._stored_crashes.discard(record.crash)
            self._crash_history.remove(record.crash)
        elif record.crash not in self._stored_crashes:
            self._stored_crashes.add(record.crash)
            self._crash_history.add(record.crash, now)

    def _apply_configuration(self, record):
        self._stored_version = record.configuration.version
        self._take_newer(record)

    def _take_newer(self, record):
        new = record.configuration
        old = self._configuration
        if old is not None and new.version <= old.version:
            if new.version < old.version:
                self._events.notice(
                    "configuration-ignored",
                    version=new.version,
                    in_force=old.version,
                )
            return
        self._configuration = new
        self._encoded_configuration = record.encoded
        self._configured.set()
        self._routes = topology.RouteTable(new.routes)
        self._events.notice(
            "configuration-in-force",
            version=new.version,
            revision=record.revision,
            routes=len(new.routes),
            tenants=len(new.tenants),
            keys_required=new.keys_required,
        )

    def _apply_registration(self, record, now, listed):
        registration = record.registration
        previous = self._directory.known.get(registration.instance)
        accepted = self._directory.put(registration, now, listed=listed)
        if previous is not None and previous.registration == registration:
            return
        self._events.notice(
            "server-registered" if accepted else "registration-outdated",
            instance=registration.instance,
            service=registration.service,
            state=registration.state.value,
            sequence=registration.sequence,
            revision=record.revision,
        )


def _registered_instances(records):
    return {
        record.registration.instance
        for record in records
        if isinstance(record, topology.RegistrationWritten)
    }


def _removed_instances(records):
    """Return the instances whose last record is a removal."""
    last = {}
    for record in records:
        if isinstance(record, topology.RegistrationWritten):
            last[record.registration.instance] = False
        elif isinstance(record, topology.RegistrationRemoved):
            last[record.instance] = True
    return [instance for instance, removed in last.items() if removed]
