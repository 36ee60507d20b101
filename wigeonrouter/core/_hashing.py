"""Rendezvous hashing: assigns each key to one member of a set.

When the set changes, only the keys owned by the members that were added or
removed move.
"""

import xxhash


def rendezvous_score(key, candidate):
    """Return the weight of a candidate for a key, an unsigned 64-bit int."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def rendezvous_order(key, candidates):
    """Order candidates for a key, the owner first.

    Args:
      key: str that identifies the item to assign.
      candidates: iterable of str, the names of the possible owners.
    Returns:
      A list of the candidates by descending score. Removing a candidate
      leaves the relative order of the others unchanged.
    """
    return sorted(
        candidates,
        key=lambda candidate: rendezvous_score(key, candidate),
        reverse=True,
    )
