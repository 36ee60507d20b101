"""Settings of one daemon, read from a JSON file."""

import dataclasses

from returns import result

from wigeonrouter import core
from wigeonrouter.schema import daemon_pb2
from wigeonrouter.settings import _checker

_MS_IN_S = 1e-3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DaemonSettings:
    """Settings of one daemon. Times are in seconds.

    The field names appear in the log line of a reload.

    Attributes:
      seeds: peer addresses to contact at start.
      entry_ttl: time for which callers may cache the response to an entry
        query.
      bootstrap_token_sha256: hex digest of a token with the role admin on
        the root; empty for none.
      log_lines_per_second: limit on request log lines.
      tls_key_file: empty where peers do not use TLS.
    """

    daemon_id: str
    place: core.Place
    caller_address: core.Address
    admin_address: core.Address
    peer_address: core.Address
    store_address: core.Address
    store_adapter: str = "tcp"
    store_timeout: float = 1.0
    seeds: tuple[core.Address, ...] = ()
    entry_ttl: float = 5.0
    bootstrap_token_sha256: str = ""
    log_format: str = "text"
    log_level: str = "info"
    log_lines_per_second: int = 100
    tls_authority_files: tuple[str, ...] = ()
    tls_certificate_file: str = ""
    tls_key_file: str = ""


def load_daemon_settings(path):
    """Read and validate a daemon's settings file.

    Args:
      path: path of the JSON file.
    Returns:
      Success(DaemonSettings), or Failure(tuple of DocumentError).
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure(
            (
                _checker.DocumentError(
                    path="$",
                    problem=f"file cannot be read: {error}",
                    allowed="a readable JSON file",
                ),
            )
        )
    return _checker.parse_document(
        text=text, message_type=daemon_pb2.DaemonSettings
    ).map(_build_settings)


def _build_settings(message):
    return DaemonSettings(
        daemon_id=message.daemon_id,
        place=core.Place(
            region=message.region, failure_domain=message.failure_domain
        ),
        caller_address=core.parse_address(message.caller_address),
        admin_address=core.parse_address(message.admin_address),
        peer_address=core.parse_address(message.peer_address),
        store_address=core.parse_address(message.store.address),
        store_adapter=message.store.adapter or "tcp",
        store_timeout=(message.store.timeout_ms or 1000) * _MS_IN_S,
        seeds=tuple(core.parse_address(seed) for seed in message.seeds),
        entry_ttl=(message.entry_ttl_ms or 5000) * _MS_IN_S,
        bootstrap_token_sha256=message.bootstrap_token_sha256,
        log_format=message.log.format or "text",
        log_level=message.log.level or "info",
        log_lines_per_second=message.log.lines_per_second or 100,
        tls_authority_files=tuple(message.peer_tls.authority_files),
        tls_certificate_file=message.peer_tls.certificate_file,
        tls_key_file=message.peer_tls.key_file,
    )
