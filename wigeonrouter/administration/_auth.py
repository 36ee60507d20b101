"""Bearer tokens and roles per subtree."""

import dataclasses
import enum
import hashlib
import hmac

from wigeonrouter import settings


class Role(enum.IntEnum):
    """What a token may do; each role includes the ones before it."""

    READER = 1
    OPERATOR = 2
    ADMIN = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """Who a token stands for.

    Attributes:
      rights: tuple of (path, Role).
    """

    name: str
    rights: tuple[tuple[str, Role], ...]

    def may(self, *, role, path):
        """Return whether the identity has a role at a path."""
        names = settings.split_path(path)
        for right_path, right_role in self.rights:
            granted = settings.split_path(right_path)
            if names[: len(granted)] == granted and right_role >= role:
                return True
        return False


def identify(*, token, root, bootstrap_sha256):
    """Find out whose token this is.

    Args:
      token: text that the operator sent.
      root: settings_pb2.Node.
      bootstrap_sha256: hexadecimal hash of the daemon settings, or "".
    Returns:
      An Identity, or None where the token is not known.
    """
    digest = hashlib.sha256(token.encode()).hexdigest()
    if bootstrap_sha256 and hmac.compare_digest(digest, bootstrap_sha256):
        return Identity(name="bootstrap", rights=(("/", Role.ADMIN),))
    rights, names = [], []
    pending = [("/", root)]
    while pending:
        path, node = pending.pop()
        for name, access in node.settings.access.items():
            if hmac.compare_digest(digest, access.sha256):
                rights.append((path, Role[access.role.upper()]))
                names.append(name)
        for name, child in node.children.items():
            names_below = (*settings.split_path(path), name)
            pending.append((settings.join_path(names_below), child))
    if not rights:
        return None
    return Identity(name=min(names), rights=tuple(rights))
