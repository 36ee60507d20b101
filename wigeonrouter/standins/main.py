"""Command that runs stand-ins as a process."""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402

from wigeonrouter import core  # noqa: E402
from wigeonrouter import standins  # noqa: E402
from wigeonrouter.schema import store_pb2  # noqa: E402


@click.group()
def main():
    """Run stand-ins for the platform in tests and demonstrations."""


@main.command()
@click.option("--address", required=True, help="IP number and port")
@click.option("--vms", default="[]", help="VM list as JSON")
def store(address, vms):
    """Run a stand-in for the key-value service and the VM list."""
    standins.StoreStandin(
        address=core.parse_address(address),
        vms=[store_pb2.Vm(**vm) for vm in json.loads(vms)],
    ).start()
    gevent.get_hub().join()


@main.command()
@click.option("--address", "addresses", required=True, multiple=True)
@click.option("--slots", default=2, show_default=True)
@click.option("--service-ms", default=5.0, show_default=True)
def backend(addresses, slots, service_ms):
    """Run one stand-in for a backend server at each address."""
    for address in addresses:
        standins.BackendStandin(
            address=core.parse_address(address),
            slots=slots,
            service_ms=service_ms,
        ).start()
    gevent.get_hub().join()


if __name__ == "__main__":
    main()
