"""Creates a certificate authority (CA) and daemon certificates.

For tests and small deployments. Needs the package cryptography, which is a
development requirement only: daemons read PEM files from any CA.
"""

from wigeonrouter.keys import _authority

create_authority = _authority.create_authority
create_daemon_certificate = _authority.create_daemon_certificate
