"""Guards against drains that are accepted but not announced to peers."""

from wigeonrouter import core
from wigeonrouter import daemon as daemon_api
from wigeonrouter import settings


def test_a_drain_is_announced_and_can_be_ended(store_standin):
    free = core.Address(host="127.0.0.1", port=0)
    daemon = daemon_api.Daemon(
        settings=settings.DaemonSettings(
            daemon_id="d",
            place=core.Place(region="r", failure_domain="f"),
            caller_address=free,
            admin_address=free,
            peer_address=free,
            store_address=core.Address(
                host="127.0.0.1", port=store_standin.port
            ),
        )
    )
    notified = []
    daemon.gossip.subscribe_facts(
        lambda facts: notified.append([(f.address, f.state) for f in facts])
    )
    server = core.Address(host="127.0.0.1", port=7001)
    daemon.drain_server(address=server, draining=True, author="a")
    daemon.drain_server(address=server, draining=False, author="b")
    # health.DrainTracker passes on the addresses of draining facts.
    address = "127.0.0.1:7001"
    assert notified == [[(address, "draining")], [(address, "active")]]
