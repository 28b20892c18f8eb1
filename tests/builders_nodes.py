"""Test data for messages between entry VMs."""

from mulberrywharf import fleet
from mulberrywharf.nodes import messages

DIGEST = bytes(range(16))
KEY = b"k" * 32


def one_of_each_message() -> list[messages.Message]:
    """Returns messages of every type, with values other than the defaults."""
    return [
        messages.Heartbeat(
            "nave-heredia",
            5,
            6,
            7,
            8,
            b"\x01\x02",
            b"\x01",
            b"\x09",
            b"\x03",
            9,
            10,
            (messages.Demand("solano", 1.5, 200.0),),
        ),
        messages.Leaving(3),
        messages.ConfigFetch(),
        messages.ConfigDocument(b"{}"),
        messages.ClaimRequest(
            DIGEST, DIGEST, "request-1", 2**63, "127.0.0.1", 80, 30.0
        ),
        messages.ClaimComplete(DIGEST, 4, 200, DIGEST, b"yes"),
        messages.ClaimComplete(DIGEST, 4, 200, DIGEST, None),
        messages.ClaimRelease(DIGEST, 4),
        messages.ClaimWait(DIGEST, 2.5),
        messages.ClaimReply(
            "done", "entry-2", "127.0.0.1", 80, 200, DIGEST, b"", "request-1"
        ),
        messages.ShardHandover(3),
        messages.RatesFetch(("dispatch", "solano"), ("tagger",)),
        messages.Rates((1.5, 0.25), (3.0,)),
    ]


def entry_vm(
    number: int, port: int = 1, availability_zone: str = "regina-hall"
) -> fleet.VmRecord:
    """Returns an entry VM's record in the VM list."""
    return fleet.VmRecord(
        f"{availability_zone}-entry-{number}",
        "entry",
        availability_zone,
        fleet.Address("127.0.0.1", port),
    )


def engine_vm(
    number: int, availability_zone: str = "regina-hall"
) -> fleet.VmRecord:
    """Returns an engine's record in the VM list."""
    return fleet.VmRecord(
        f"{availability_zone}-engine-{number}",
        "engine",
        availability_zone,
        fleet.Address("127.0.0.1", 2),
    )
