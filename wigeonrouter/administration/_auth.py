"""Authentication by bearer tokens, and roles for subtrees."""

import dataclasses
import enum
import hashlib
import hmac

from wigeonrouter import settings


class Role(enum.IntEnum):
    """Permissions of a token; each role includes those of lower value."""

    READER = 1
    OPERATOR = 2
    ADMIN = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """The owner of a token and its rights.

    Attributes:
      name: path and name of the token; the author in the log of changes.
      rights: tuple of (path, Role); a role applies to the whole subtree.
    """

    name: str
    rights: tuple[tuple[str, Role], ...]

    def has_role(self, *, role, path):
        """Return whether the identity has a role at a path."""
        names = settings.split_path(path)
        for right_path, right_role in self.rights:
            granted = settings.split_path(right_path)
            if names[: len(granted)] == granted and right_role >= role:
                return True
        return False


class TokenIndex:
    """Index of identities by the hash of their token.

    The tree of the target size has 1,700 services. Walking it for each
    request would take milliseconds of a core that also serves callers, so the
    index follows the revisions of the replica and reads changed subtrees
    only.

    Args:
      replica: configuration.Replica.
      bootstrap_sha256: hex digest of a token with the role admin on the
        root; empty for none.
    """

    def __init__(self, *, replica, bootstrap_sha256):
        self._replica = replica
        self._bootstrap_sha256 = bootstrap_sha256
        self._revision = None
        # Dict from path of a node to a tuple of (sha256, Role, name).
        self._by_path = {}
        # Dict from sha256 to Identity.
        self._identities = {}

    def identify(self, token):
        """Return the Identity of a token, or None if it is unknown.

        Args:
          token: str that the operator sent.
        """
        digest = hash_token(token)
        bootstrap = self._bootstrap_sha256
        if bootstrap and hmac.compare_digest(digest, bootstrap):
            return Identity(name="bootstrap", rights=(("/", Role.ADMIN),))
        self._update()
        return self._identities.get(digest)

    def _update(self):
        """Read the subtrees changed since the last update.

        Reads the whole tree if the replica no longer has all entries since.
        """
        if self._revision == self._replica.revision:
            return
        entries = None
        if self._revision is not None:
            entries = self._replica.entries_after(self._revision)
        if entries is None:
            paths = {"/"}
        else:
            paths = {c.path for entry in entries for c in entry.changes}
        for path in paths:
            self._read_tokens(path)
        self._revision = self._replica.revision
        self._build_identities()

    def _read_tokens(self, path):
        """Read the tokens at and below a path again."""
        root_names = settings.split_path(path)
        for known in list(self._by_path):
            if settings.split_path(known)[: len(root_names)] == root_names:
                del self._by_path[known]
        node = settings.find_node(root=self._replica.root, path=path)
        pending = [] if node is None else [(root_names, node)]
        while pending:
            names, node = pending.pop()
            if node.HasField("settings") and node.settings.access:
                self._by_path[settings.join_path(names)] = tuple(
                    (access.sha256, Role[access.role.upper()], name)
                    for name, access in sorted(node.settings.access.items())
                )
            for name, child in node.children.items():
                pending.append(((*names, name), child))

    def _build_identities(self):
        rights, names = {}, {}
        for path, tokens in sorted(self._by_path.items()):
            for digest, role, name in tokens:
                rights.setdefault(digest, []).append((path, role))
                names.setdefault(digest, f"{path}#{name}")
        self._identities = {
            digest: Identity(name=names[digest], rights=tuple(granted))
            for digest, granted in rights.items()
        }


def hash_token(token):
    """Return the SHA-256 of a token in hexadecimal, as in the settings."""
    return hashlib.sha256(token.encode(errors="replace")).hexdigest()
