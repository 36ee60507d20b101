"""Identifies equal requests, whatever their IDs and the nodes they reach."""

import hashlib

_DIGEST_BYTES = 16
# Of a longer body only the length and this much of both ends count.
_BODY_END_BYTES = 32 << 10


def compute(request, tenant=""):
    """Return the digest of a request as 32 hexadecimal digits.

    Requests with the same method, host, target, credentials, tenant and body
    have the same digest. The API key is left out, since digests are logged
    and stored; a tenant may have several keys.

    Args:
      request: HttpRequest.
      tenant: name of its tenant, "" without one. The digest is then that of
        earlier builds.
    """
    body = request.body
    parts = [
        request.method,
        request.header(b"host").lower(),
        request.target,
        request.header(b"authorization"),
        b"%d" % len(body),
    ]
    if len(body) <= 2 * _BODY_END_BYTES:
        parts.append(body)
    else:
        parts += [body[:_BODY_END_BYTES], body[-_BODY_END_BYTES:]]
    if tenant:
        parts.append(tenant.encode())
    hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        hashed.update(b"%d:" % len(part))
        hashed.update(part)
    return hashed.hexdigest()
