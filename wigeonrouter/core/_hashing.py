"""Rendezvous hashing: assigns keys to members with little movement."""

import xxhash


def rendezvous_score(key, candidate):
    """Return the score of a candidate for a key, a 64-bit integer."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{candidate}".encode())


def rendezvous_order(key, candidates):
    """Order candidates for a key, the owner first.

    Args:
      key: text that names what is to be owned.
      candidates: an iterable of texts.
    Returns:
      A list of the candidates by descending score. When one candidate goes
      away, the order of the others does not change.
    """
    return sorted(
        candidates,
        key=lambda candidate: rendezvous_score(key, candidate),
        reverse=True,
    )
