"""Facts about backend servers, replicated between daemons by gossip.

A fact is keyed by the server's address and its source. Of two facts with the
same key the higher version wins; because the source is part of the key, a
health rule cannot override an operator's drain. Versions are milliseconds
since the epoch. A fact expires FACT_RETENTION_S after its version, and a full
table evicts the oldest facts first; a state that has to last longer belongs
in the settings.
"""

import dataclasses

import xxhash

from wigeonrouter.membership import _updates

FACT_RETENTION_S = 24 * 3600.0
MAX_FACTS = 50_000
# A version further ahead of the local clock is rejected as malformed: it would
# override every later fact with its key and expire late.
MAX_VERSION_AHEAD_S = 24 * 3600.0
# Number of hash buckets of the table. Peers compare one digest per bucket, so
# that anti-entropy transfers only the buckets that differ.
DIGEST_BUCKETS = 256
# Bound on the pending updates piggybacked on one message.
MAX_FACTS_PER_MESSAGE = 128
# Bound on the anti-entropy repair facts in one message: about 10 KB.
MAX_FACTS_PER_REPAIR = 200


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerFact:
    """A statement about a backend server.

    Attributes:
      address: IP address and port of the server, as text.
      state: state of the server, for instance ``draining`` or ``active``.
      version: milliseconds since the epoch; the highest wins.
      source: origin of the statement, for instance ``operator``.
    """

    address: str
    state: str
    version: int
    source: str

    @property
    def key(self):
        """Key of the fact: a pair (address, source)."""
        return self.address, self.source


class FactTable:
    """Table of the facts known to one daemon, with its digests."""

    def __init__(self):
        self._facts = {}
        self._bucket_digests = [0] * DIGEST_BUCKETS
        self._digest = 0
        self._updates = _updates.TransmitLimitedQueue()

    def __len__(self):
        return len(self._facts)

    @property
    def facts(self):
        """Tuple of all ServerFact."""
        return tuple(self._facts.values())

    @property
    def digest(self):
        """Digest of the whole table, a 64-bit integer."""
        return self._digest

    @property
    def bucket_digests(self):
        """Tuple of DIGEST_BUCKETS digests, 64-bit integers."""
        return tuple(self._bucket_digests)

    @property
    def all_updates_sent(self):
        """Whether no update is pending."""
        return not self._updates

    def assert_fact(self, *, address, state, source, now_ms):
        """Set a fact, with a version above that of the known one.

        Args:
          address: IP address and port of the server, as text.
          state: the new state.
          source: origin of the statement.
          now_ms: milliseconds since the epoch.
        Returns:
          The ServerFact.
        """
        known = self._facts.get((address, source))
        version = max(now_ms, known.version + 1 if known else 0)
        fact = ServerFact(
            address=address, state=state, version=version, source=source
        )
        self._put(fact)
        return fact

    def merge(self, facts, *, now_ms):
        """Apply the facts that are newer than the known ones.

        Args:
          facts: iterable of ServerFact; expired ones are skipped.
          now_ms: milliseconds since the epoch.
        Returns:
          The list of the applied facts.
        """
        changed = []
        oldest = now_ms - int(FACT_RETENTION_S * 1000)
        for fact in facts:
            known = self._facts.get(fact.key)
            if fact.version <= oldest:
                continue
            if known is None or _rank(fact) > _rank(known):
                self._put(fact)
                changed.append(fact)
        return changed

    def expire(self, *, now_ms):
        """Remove expired facts, and the oldest beyond MAX_FACTS.

        Args:
          now_ms: milliseconds since the epoch.
        Returns:
          The list of the removed facts.
        """
        oldest = now_ms - int(FACT_RETENTION_S * 1000)
        expired = [fact for fact in self.facts if fact.version <= oldest]
        excess = len(self._facts) - len(expired) - MAX_FACTS
        if excess > 0:
            remaining = [fact for fact in self.facts if fact.version > oldest]
            remaining.sort(key=_rank)
            expired += remaining[:excess]
        for fact in expired:
            self._xor_into_digests(self._facts.pop(fact.key))
            self._updates.discard(fact.key)
        return expired

    def take_updates(self, *, max_sends):
        """Return the list of pending facts to piggyback on one message."""
        return [
            self._facts[key]
            for key in self._updates.take(
                limit=MAX_FACTS_PER_MESSAGE, max_sends=max_sends
            )
        ]

    def facts_in_differing_buckets(self, bucket_digests, *, rng):
        """Return facts of the buckets whose digests differ.

        Args:
          bucket_digests: sequence of DIGEST_BUCKETS digests of another table.
          rng: random.Random; samples where there are too many facts, so that
            repeated calls eventually cover all of them.
        Returns:
          A list of at most MAX_FACTS_PER_REPAIR ServerFact.
        """
        differing_buckets = {
            index
            for index, digest in enumerate(bucket_digests)
            if digest != self._bucket_digests[index]
        }
        facts = [
            fact
            for fact in self.facts
            if _bucket(fact.key) in differing_buckets
        ]
        if len(facts) > MAX_FACTS_PER_REPAIR:
            facts = rng.sample(facts, MAX_FACTS_PER_REPAIR)
        return facts

    def _put(self, fact):
        known = self._facts.get(fact.key)
        if known is not None:
            self._xor_into_digests(known)
        self._facts[fact.key] = fact
        self._xor_into_digests(fact)
        self._updates.add(fact.key)

    def _xor_into_digests(self, fact):
        """XOR a fact's hash into the digests.

        This adds the fact; a second call removes it again.
        """
        digest = xxhash.xxh3_64_intdigest(
            f"{fact.address} {fact.source} {fact.version} "
            f"{fact.state}".encode()
        )
        self._digest ^= digest
        self._bucket_digests[_bucket(fact.key)] ^= digest


def _bucket(key):
    """Return the index of a key's bucket."""
    address, source = key
    return (
        xxhash.xxh3_64_intdigest(f"{address} {source}".encode())
        % DIGEST_BUCKETS
    )


def _rank(fact):
    return fact.version, fact.state
