"""HTTP API for administration, entry queries, health and metrics."""

from wigeonrouter.administration import _app
from wigeonrouter.administration import _auth
from wigeonrouter.administration import _problems as problems  # noqa: F401

Identity = _auth.Identity
Role = _auth.Role
TokenIndex = _auth.TokenIndex

build_app = _app.build_app
hash_token = _auth.hash_token
