"""Messages about what a restored store has lost but a node still knows."""

from wigeonrouter import topology
from wigeonrouter.schema import node_pb2


def encode(memory):
    """Encode a topology.StoreMemory; return None if it is empty."""
    if not (memory.configuration or memory.departures):
        return None
    return node_pb2.StoreMemory(
        configuration=memory.configuration,
        departures=[
            node_pb2.Departure(
                instance=departure.instance,
                started_ms=departure.started_ms,
                sequence=departure.sequence,
            )
            for departure in memory.departures
        ],
    )


def decode(message):
    """Decode a StoreMemory message into a topology.StoreMemory."""
    return topology.StoreMemory(
        configuration=message.configuration,
        departures=tuple(
            topology.Departure(
                instance=departure.instance,
                started_ms=departure.started_ms,
                sequence=departure.sequence,
            )
            for departure in message.departures
        ),
    )
