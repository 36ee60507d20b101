"""Facts about backend servers that daemons tell each other.

A fact is known by the server's address and its source; of two statements of
one source the higher version wins, so that a health rule cannot undo an
operator's drain. Versions are milliseconds since the epoch. A fact is
forgotten FACT_KEPT_S after its version, and the oldest go first where the
table is full; a state that must last longer belongs into the settings.
"""

import dataclasses

import xxhash

from wigeonrouter.membership import _updates

FACT_KEPT_S = 24 * 3600.0
MAX_FACTS = 50_000
# A version that is further ahead of the clock than this is malformed; it
# would outlive and override all later facts.
MAX_AHEAD_S = 24 * 3600.0
PARTS = 256
MAX_SENT_FACTS = 128
# Facts sent in one message in order to repair a difference: about 10 KB.
MAX_REPAIR_FACTS = 200


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerFact:
    """A statement about a backend server.

    Attributes:
      address: IP number and port of the server, as text.
      state: for instance ``draining`` or ``active``.
      version: milliseconds since the epoch; the highest wins.
      source: who says so, for instance ``operator``.
    """

    address: str
    state: str
    version: int
    source: str

    @property
    def key(self):
        """What the fact is known by."""
        return self.address, self.source


class FactTable:
    """Owns the facts that one daemon knows."""

    def __init__(self):
        self._facts = {}
        self._parts = [0] * PARTS
        self._digest = 0
        self._updates = _updates.Updates()

    def __len__(self):
        return len(self._facts)

    @property
    def facts(self):
        """Tuple of all ServerFact."""
        return tuple(self._facts.values())

    @property
    def digest(self):
        """Digest of all facts, a 64-bit integer."""
        return self._digest

    @property
    def parts(self):
        """Tuple of the digests of the PARTS parts of the table."""
        return tuple(self._parts)

    @property
    def settled(self):
        """Whether no update waits to be sent."""
        return not self._updates

    def assert_fact(self, *, address, state, source, now_ms):
        """State a fact with a version above the known one.

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
        """Take over the facts that are newer than the known ones.

        Returns:
          The list of those facts.
        """
        changed = []
        oldest = now_ms - int(FACT_KEPT_S * 1000)
        for fact in facts:
            known = self._facts.get(fact.key)
            if fact.version <= oldest:
                continue
            if known is None or _rank(fact) > _rank(known):
                self._put(fact)
                changed.append(fact)
        return changed

    def expire(self, *, now_ms):
        """Forget old facts.

        Returns:
          The list of forgotten facts.
        """
        oldest = now_ms - int(FACT_KEPT_S * 1000)
        old = [fact for fact in self.facts if fact.version <= oldest]
        excess = len(self._facts) - len(old) - MAX_FACTS
        if excess > 0:
            kept = [fact for fact in self.facts if fact.version > oldest]
            kept.sort(key=_rank)
            old += kept[:excess]
        for fact in old:
            self._toggle(self._facts.pop(fact.key))
            self._updates.discard(fact.key)
        return old

    def take_updates(self, *, sends):
        """Return the facts to be sent with one message."""
        return [
            self._facts[key]
            for key in self._updates.take(limit=MAX_SENT_FACTS, sends=sends)
        ]

    def differing(self, parts, *, rng):
        """Return facts of the parts whose digests differ.

        Args:
          parts: sequence of PARTS digests of another table.
          rng: random.Random; chooses among too many facts, so that
            repeated calls in the end cover all.
        Returns:
          A list of at most MAX_REPAIR_FACTS ServerFact.
        """
        different = {
            index
            for index, digest in enumerate(parts)
            if digest != self._parts[index]
        }
        facts = [fact for fact in self.facts if _part(fact.key) in different]
        if len(facts) > MAX_REPAIR_FACTS:
            facts = rng.sample(facts, MAX_REPAIR_FACTS)
        return facts

    def _put(self, fact):
        known = self._facts.get(fact.key)
        if known is not None:
            self._toggle(known)
        self._facts[fact.key] = fact
        self._toggle(fact)
        self._updates.add(fact.key)

    def _toggle(self, fact):
        """Add a fact to the digests, or take it out again."""
        digest = xxhash.xxh3_64_intdigest(
            f"{fact.address} {fact.source} {fact.version} "
            f"{fact.state}".encode()
        )
        self._digest ^= digest
        self._parts[_part(fact.key)] ^= digest


def _part(key):
    address, source = key
    return xxhash.xxh3_64_intdigest(f"{address} {source}".encode()) % PARTS


def _rank(fact):
    return fact.version, fact.state
