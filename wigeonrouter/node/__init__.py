"""The program of an entry VM: serves callers of a deployment."""

from wigeonrouter.node import _node

Node = _node.Node
