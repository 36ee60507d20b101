"""Selection of backend servers: policies behind one registry."""

from wigeonrouter.selection import _comparison  # noqa: F401
from wigeonrouter.selection import _free_slot  # noqa: F401
from wigeonrouter.selection import _load
from wigeonrouter.selection import _registry

Choice = _registry.Choice
PolicyContext = _registry.PolicyContext
Wait = _registry.Wait

capacity = _load.capacity
find_policy = _registry.find_policy
occupied = _load.occupied
place_price = _load.place_price
policy = _registry.policy
policy_names = _registry.policy_names
region_price = _load.region_price
