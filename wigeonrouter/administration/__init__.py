"""Administration API: settings, status, entries, health."""

from wigeonrouter.administration import _app
from wigeonrouter.administration import _auth

Identity = _auth.Identity
Role = _auth.Role

build_app = _app.build_app
identify = _auth.identify
now_ms = _app.now_ms
