"""Selection of backend servers: policies behind one registry."""

from wigeonrouter.selection import _policies
from wigeonrouter.selection import _registry

Choice = _registry.Choice
PolicyContext = _registry.PolicyContext
Wait = _registry.Wait

capacity = _policies.capacity
find_policy = _registry.find_policy
occupied = _policies.occupied
place_price = _policies.place_price
policy = _registry.policy
policy_names = _registry.policy_names
