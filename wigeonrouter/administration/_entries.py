"""Resources without authentication: entry query, health and metrics."""

import falcon

from wigeonrouter import core
from wigeonrouter import entries
from wigeonrouter import observability
from wigeonrouter.administration import _problems
from wigeonrouter.administration import _registry


class Health:
    """Liveness check: succeeds whenever the process can respond."""

    def on_get(self, req, resp):
        resp.media = {"status": "ok"}


class Ready:
    """Readiness check: status 503 unless callers may be sent here."""

    def __init__(self, *, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        resp.media = {"ready": self._daemon.ready}
        if not self._daemon.ready:
            resp.status = falcon.HTTP_503


class Metrics:
    """Returns the metrics in the Prometheus text format."""

    def __init__(self, *, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        resp.content_type = observability.METRICS_CONTENT_TYPE
        resp.data = self._daemon.expose_metrics()


class Entries:
    """Entry query: returns the daemons that a caller should use."""

    def __init__(self, *, daemon):
        self._daemon = daemon
        self._ranking_cache = entries.EntryRankingCache()

    def on_get(self, req, resp):
        if not self._daemon.configured:
            _registry.write_problem(
                resp,
                _problems.Problem(
                    problem=_problems.NOT_READY, detail="ask another daemon"
                ),
            )
            return
        name = req.get_param("service")
        service = self._daemon.replica.services.get(name) if name else None
        if name and service is None:
            _registry.write_problem(
                resp,
                _problems.Problem(
                    problem=_problems.NO_SERVICE, detail=f"no service {name}"
                ),
            )
            return
        own = self._daemon.settings.place
        place = core.Place(
            region=req.get_param("region", default=own.region),
            failure_domain=req.get_param(
                "failure_domain", default=own.failure_domain
            ),
        )
        chosen = self._ranking_cache.choose(
            service=service,
            place=place,
            members=self._daemon.table.alive,
            rng=self._daemon.rng,
        )
        resp.media = {
            "ttl_ms": int(self._daemon.settings.entry_ttl * 1000),
            "entries": [
                {
                    "address": str(entry.address),
                    "request_id_prefix": entry.request_id_prefix,
                    "region": entry.place.region,
                    "failure_domain": entry.place.failure_domain,
                    "home": entry.home,
                }
                for entry in chosen
            ],
        }
