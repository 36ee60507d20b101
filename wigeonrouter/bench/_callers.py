"""Callers that ask for an entry, connect there and check every answer."""

import collections
import dataclasses
import json
import time

import geventhttpclient
from hdrh import histogram

_MAX_LATENCY_US = 60_000_000
# The longest timeout of the example settings.
DEADLINE_S = 2.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TrafficClass:
    """One class of requests that callers send."""

    service: str
    method: str
    target: str
    region: str
    idempotent: bool


class ClassResult:
    """Collects what the callers of one class saw."""

    def __init__(self, *, traffic):
        self.traffic = traffic
        self.sent = 0
        self.outcomes = collections.Counter()
        self.crossed = 0
        self.by_id = {}
        self._latency = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)

    def add(self, request_id, outcome, seconds):
        """Record one request."""
        self.sent += 1
        self.outcomes[outcome] += 1
        self.by_id[request_id] = outcome
        self._latency.record_value(max(1, int(seconds * 1e6)))

    def quantile_ms(self, percent):
        """Return a latency quantile in ms."""
        return self._latency.get_value_at_percentile(percent) / 1000


class NoEntry(Exception):
    """No daemon answered an entry query."""


class Caller:
    """One caller: keeps an entry answer for its lifetime.

    Attributes of the constructor: admins are the addresses that entry
    queries go to, in order of preference.
    """

    def __init__(self, *, name, traffic, admins, timeout=10.0):
        self._name = name
        self._traffic = traffic
        self._admins = admins
        self._timeout = timeout
        self._count = 0
        self._client = None
        self._address = ""
        self._prefix = ""
        self._expires = 0.0

    def send(self, result):
        """Send one request and record how it ended."""
        self._choose_entry()
        self._count += 1
        nonce = f"{self._name}-{self._count}"
        request_id = f"{self._prefix}.{int(time.time() * 1000)}.{nonce}"
        started = time.monotonic()
        try:
            response = self._client.request(
                self._traffic.method,
                f"{self._traffic.target}?n={nonce}",
                body=nonce if self._traffic.method == "POST" else b"",
                headers={"X-Request-Id": request_id, "X-Tenant": "demo"},
            )
            body = response.read()
        except (OSError, ValueError) as error:
            result.add(request_id, f"lost ({type(error).__name__})", 0.0)
            self._expires = 0.0
            return
        seconds = time.monotonic() - started
        outcome = response.get("x-outcome") or "ok"
        if outcome == "ok":
            if seconds > DEADLINE_S:
                outcome = "late"
            if json.loads(body)["request_id"] != request_id:
                result.crossed += 1
        result.add(request_id, outcome, seconds)

    def _choose_entry(self):
        if time.monotonic() < self._expires:
            return
        answer = self._ask()
        entry = answer["entries"][0]
        if entry["address"] != self._address:
            host, _, port = entry["address"].rpartition(":")
            if self._client is not None:
                self._client.close()
            self._client = geventhttpclient.HTTPClient(
                host,
                int(port),
                network_timeout=self._timeout,
                connection_timeout=self._timeout,
            )
            self._address = entry["address"]
        self._prefix = entry["request_id_prefix"]
        self._expires = time.monotonic() + answer["ttl_ms"] / 1000

    def _ask(self):
        """Return the entry answer of the first daemon that gives one."""
        target = (
            f"/v1/entries?service={self._traffic.service}"
            f"&region={self._traffic.region}"
            f"&failure_domain={self._traffic.region}-a"
        )
        for address in self._admins:
            client = geventhttpclient.HTTPClient(address.host, address.port)
            try:
                response = client.get(target)
                answer = json.loads(response.read())
                if response.status_code == 200 and answer["entries"]:
                    return answer
            except (OSError, ValueError):
                # Entry queries change nothing; the next daemon is asked.
                continue
            finally:
                client.close()
        raise NoEntry(f"no daemon names an entry for {self._traffic.service}")
