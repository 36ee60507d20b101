"""Selection of backend servers: policies in a registry."""

from wigeonrouter.selection import _comparison  # noqa: F401
from wigeonrouter.selection import _free_slot  # noqa: F401
from wigeonrouter.selection import _load
from wigeonrouter.selection import _registry

Choice = _registry.Choice
PolicyContext = _registry.PolicyContext
Wait = _registry.Wait

concurrency_limit = _load.concurrency_limit
find_policy = _registry.find_policy
expected_busy_slots = _load.expected_busy_slots
locality_price = _load.locality_price
policy = _registry.policy
policy_names = _registry.policy_names
region_price = _load.region_price
