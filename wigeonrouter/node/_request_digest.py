"""Identifies equal requests, whatever their IDs and the nodes they reach."""

import hashlib

_DIGEST_BYTES = 16
# Of a longer body only the length and this much of both ends count.
_BODY_END_BYTES = 32 << 10


def compute(request):
    """Return the digest of a request as 32 hexadecimal digits.

    Requests with the same method, host, target, credentials and body have the
    same digest.

    Args:
      request: HttpRequest.
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
    hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        hashed.update(b"%d:" % len(part))
        hashed.update(part)
    return hashed.hexdigest()
