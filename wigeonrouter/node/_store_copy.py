"""A node's copy of the store: loads it, keeps it current, knows its age."""

from wigeonrouter import topology
from wigeonrouter.node import _copy_keeper
from wigeonrouter.node import _store_cache
from wigeonrouter.node import _store_loader
from wigeonrouter.node import _store_memory
from wigeonrouter.node import _store_reader


class StoreCopy:
    """Owns the StoreCache of a node and what reads the store into it.

    Args:
      settings: topology.NodeSettings.
      feed: the adapter's interface to the store.
      cluster_state: ClusterState, which gets the store's records.
      role: function that returns this node's topology.Role.
      on_update: called with each update that was read from the store.
      on_read: called when a read has shown that the copy is current.
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
        role,
        on_update,
        on_read,
        events,
        rng,
        clock,
    ):
        self._settings = settings
        self._feed = feed
        self._cluster_state = cluster_state
        self._on_update = on_update
        self._on_read = on_read
        self._events = events
        self._rng = rng
        self._clock = clock
        self._cache = _store_cache.StoreCache(
            apply=self._apply,
            export_memory=self._export_memory,
            import_memory=self._import_memory,
        )
        self._freshness = topology.CopyFreshness(now=clock())
        self._keeper = _copy_keeper.CopyKeeper(
            freshness=self._freshness,
            bounds=lambda: self._settings.bounds,
            feed=feed,
            reader=self.make_reader(
                on_store_contact=lambda: None,
                on_store_outage=lambda error, failures: None,
            ),
            store_cache=self._cache,
            role=role,
            events=events,
            rng=rng,
            clock=clock,
        )
        self._loader = _store_loader.StoreLoader(
            settings=settings,
            seeds=lambda: self._settings.seeds,
            feed=feed,
            store_cache=self._cache,
            events=events,
            rng=rng,
        )

    @property
    def cache(self):
        """StoreCache, which holds the items."""
        return self._cache

    @property
    def position(self):
        """store.Position that this node has applied."""
        return self._cache.position

    @property
    def age(self):
        """Seconds for which the copy may be outdated."""
        return self._freshness.age(self._clock())

    @property
    def proven_age(self):
        """Like age, but None while nobody has shown how old the copy is."""
        return self._freshness.proven_age(self._clock())

    @property
    def reaches_store(self):
        """Whether this node has just read the store to keep it current."""
        return self._keeper.reaches_store

    def confirm(self, age=0.0):
        """Record that the copy was current some seconds ago."""
        self._freshness.confirm(self._clock() - age)

    def load(self):
        """Fill the copy; see StoreLoader.load()."""
        return self._loader.load()

    def keep_current(self):
        """Keep the copy current, until killed."""
        self._keeper.run()

    def reload(self, settings):
        """Apply changed topology.NodeSettings."""
        self._settings = settings

    def make_reader(
        self,
        *,
        on_store_contact,
        on_store_outage,
        on_confirmed=lambda: None,
    ):
        """Return a StoreReader of the copy; see there."""

        def confirm():
            self._on_confirmed()
            on_confirmed()

        return _store_reader.StoreReader(
            store_cache=self._cache,
            feed=self._feed,
            events=self._events,
            rng=self._rng,
            on_update=self._on_update,
            on_store_contact=on_store_contact,
            on_confirmed=confirm,
            on_store_outage=on_store_outage,
            listing_due=self._cluster_state.listing_due,
        )

    def _on_confirmed(self):
        self.confirm()
        self._on_read()

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
