"""Authorities and daemon certificates for tests and small deployments.

Needs the package cryptography, which is a development requirement only:
daemons themselves read PEM files from any authority.
"""

from wigeonrouter.keys import _authority

create_authority = _authority.create_authority
create_daemon_certificate = _authority.create_daemon_certificate
