"""Finds the tenant that holds an API key.

Load pattern: each request of thousands of tenants is looked up, and a caller
may guess keys and measure how long the lookup takes. The table has keyed
hashes of the keys, so the time of a lookup depends on the length of the
caller's key only, and not on how much of it matches.
"""

import hashlib
import secrets

_HASH_BYTES = 32


class KeyTable:
    """The API keys of a configuration.

    Args:
      tenants: iterable of topology.Tenant, no two of which hold the same key.
    """

    def __init__(self, tenants):
        # The hashes of chosen keys cannot be predicted without it.
        self._secret = secrets.token_bytes(_HASH_BYTES)
        self._tenants = {
            self._hash(key): tenant
            for tenant in tenants
            for key in tenant.api_keys
        }

    def __len__(self):
        """Return the number of keys."""
        return len(self._tenants)

    def find(self, key):
        """Return the topology.Tenant that holds a key, or None.

        Args:
          key: text, "" if the request has no usable key.
        """
        tenant = self._tenants.get(self._hash(key))
        return tenant if key else None

    def _hash(self, key):
        return hashlib.blake2b(
            key.encode("utf-8", "surrogatepass"),
            key=self._secret,
            digest_size=_HASH_BYTES,
        ).digest()
