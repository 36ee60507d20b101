"""The process on an entry VM that balances the load of a deployment."""

from wigeonrouter.node import _node

Node = _node.Node
