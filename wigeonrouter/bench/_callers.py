"""Callers that query an entry, send requests to it and check responses."""

import collections
import dataclasses
import json
import time

import geventhttpclient
from hdrh import histogram

_MAX_LATENCY_US = 60_000_000
# The longest request timeout in the example settings.
MAX_RESPONSE_TIME_S = 2.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TrafficClass:
    """Requests of one kind that callers send to one service.

    Attributes:
      service: path of the service.
      method: HTTP method.
      target: path of the request target.
      region: region of the callers.
      idempotent: whether the settings allow repeated execution.
    """

    service: str
    method: str
    target: str
    region: str
    idempotent: bool


class TrafficClassResult:
    """Collects the results of all callers of one traffic class.

    Attributes:
      traffic: TrafficClass.
      sent: number of requests.
      outcomes: number of requests for each outcome.
      mismatched: responses that belong to another request.
      outcome_by_id: outcome for each request id.
    """

    def __init__(self, *, traffic):
        self.traffic = traffic
        self.sent = 0
        self.outcomes = collections.Counter()
        self.mismatched = 0
        self.outcome_by_id = {}
        self._latency = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)

    def add(self, request_id, outcome, seconds):
        """Record the outcome and latency, in seconds, of one request."""
        self.sent += 1
        self.outcomes[outcome] += 1
        self.outcome_by_id[request_id] = outcome
        self._latency.record_value(max(1, int(seconds * 1e6)))

    def percentile_ms(self, percent):
        """Return a latency percentile in ms; percent is from 0 to 100."""
        return self._latency.get_value_at_percentile(percent) / 1000


class NoEntryAvailable(Exception):
    """No daemon returned an entry for a service."""


class Caller:
    """Sends requests and caches the entry response for its TTL.

    Constructor arguments:
      name: prefix of its nonces, unique among callers.
      traffic: TrafficClass.
      admin_addresses: core.Address of each daemon to query for entries, in
        order of preference.
      timeout: network timeout in seconds.
    """

    def __init__(self, *, name, traffic, admin_addresses, timeout=10.0):
        self._name = name
        self._traffic = traffic
        self._admin_addresses = admin_addresses
        self._timeout = timeout
        self._sent_count = 0
        self._client = None
        self._address = ""
        self._request_id_prefix = ""
        self._entry_expires = 0.0

    def send(self, result):
        """Send one request and record its outcome in a TrafficClassResult."""
        self._refresh_entry()
        self._sent_count += 1
        nonce = f"{self._name}-{self._sent_count}"
        request_id = (
            f"{self._request_id_prefix}.{int(time.time() * 1000)}.{nonce}"
        )
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
            self._entry_expires = 0.0
            return
        seconds = time.monotonic() - started
        outcome = response.get("x-outcome") or "ok"
        if outcome == "ok":
            if seconds > MAX_RESPONSE_TIME_S:
                outcome = "late"
            if json.loads(body)["request_id"] != request_id:
                result.mismatched += 1
        result.add(request_id, outcome, seconds)

    def _refresh_entry(self):
        if time.monotonic() < self._entry_expires:
            return
        entry_response = self._query_entries()
        entry = entry_response["entries"][0]
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
        self._request_id_prefix = entry["request_id_prefix"]
        self._entry_expires = (
            time.monotonic() + entry_response["ttl_ms"] / 1000
        )

    def _query_entries(self):
        """Return the first non-empty entry response, by order of preference.

        Raises:
          NoEntryAvailable: no daemon returned an entry.
        """
        target = (
            f"/v1/entries?service={self._traffic.service}"
            f"&region={self._traffic.region}"
            f"&failure_domain={self._traffic.region}-a"
        )
        for address in self._admin_addresses:
            client = geventhttpclient.HTTPClient(address.host, address.port)
            try:
                response = client.get(target)
                entry_response = json.loads(response.read())
                if response.status_code == 200 and entry_response["entries"]:
                    return entry_response
            except (OSError, ValueError):
                # Entry queries are idempotent, so the next daemon is queried.
                continue
            finally:
                client.close()
        raise NoEntryAvailable(
            f"no daemon returned an entry for {self._traffic.service}"
        )
