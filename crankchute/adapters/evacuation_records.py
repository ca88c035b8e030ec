"""Conversion between Evacuation and the protobuf messages of peers."""

from crankchute.core.evacuations import Evacuation
from crankchute.proto import peer_pb2


def write_evacuations(evacuations):
    """Return the messages for a sequence of Evacuation, a list."""
    return [
        peer_pb2.EvacuationRecord(
            data_centre=one.data_centre,
            position=one.position,
            is_evacuated=one.is_evacuated,
        )
        for one in evacuations
    ]


def read_evacuations(records):
    """Return the Evacuations of a sequence of messages, a tuple."""
    return tuple(
        Evacuation(
            record.data_centre,
            record.position,
            is_evacuated=record.is_evacuated,
        )
        for record in records
    )
