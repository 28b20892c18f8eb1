"""Tests that no datagram of another gateway ends a gateway."""

import random
import unittest

from result import Err

from fuzz import target
from mulberrywharf.peers import datagrams, notice_codec, queue_codec
from mulberrywharf.policy import part_caches
from tests import test_queue_owners

_KINDS = (b"n", b"q", b"c", b"u", b"f", b"l", b"t")
_WORD_BYTES = 8
_INVALID_COUNT = 300
_DAMAGED_COUNT = 2_000
_PARTS = (part_caches.HeldPart(1, 5), part_caches.HeldPart(2, 6))
_NOTICE = notice_codec.encode(
    notice_codec.Notice(
        1,
        2,
        (notice_codec.Placement(3, 7, _PARTS, 8),),
        notice_codec.SeenRevisions(1, 2, 3),
        (notice_codec.Load(4, 1, 2, 3),),
        (notice_codec.Demand(5, 6),),
    )
)

_TRUNCATED = tuple(
    map(
        bytes.fromhex,
        (
            "010603010101ba10031103015109020107a086ae",
            "010621502c010101ba1003",
            "0106215001019a01ba",
        ),
    )
)
"""Questions whose packed bytes end too early."""


def packed(words: bytes) -> bytes:
    """Returns a message in the packed form, all its words as literals."""
    rest = words[_WORD_BYTES:]
    count = len(rest) // _WORD_BYTES
    return b"\xff" + words[:_WORD_BYTES] + bytes([count]) + rest


def invalid(rng: random.Random) -> bytes:
    """Returns a message with one segment, whose words are drawn."""
    count = rng.randint(1, 40)
    header = (0).to_bytes(4, "little") + count.to_bytes(4, "little")
    return packed(header + rng.randbytes(count * _WORD_BYTES))


def damaged(rng: random.Random, body: bytes) -> bytes:
    """Returns a message with bytes changed, cut off or added."""
    changed = bytearray(body)
    for _ in range(rng.randint(1, 4)):
        place = rng.randrange(len(changed) + 1)
        how = rng.random()
        if how < 0.4:
            changed[place : place + 1] = rng.randbytes(1)
        elif how < 0.7:
            del changed[place:]
        else:
            changed[place:place] = rng.randbytes(1)
    return bytes(changed)


class MalformedDatagramTest(target.Target):
    """Two gateways, one of which gets datagrams from the other's address.

    The checksums are right, so the bytes reach the decoders.
    """

    def send_body(self, number: int, body: bytes) -> None:
        kind = _KINDS[number % len(_KINDS)]
        self.send_datagram(datagrams.frame_datagram(kind, body))

    def test_invalid_messages_end_no_gateway(self) -> None:
        """Guards against library exceptions that end the process."""
        rng = random.Random(1)
        for number in range(_INVALID_COUNT):
            self.send_body(number, invalid(rng))
        self.check()

    def test_damaged_messages_end_no_gateway(self) -> None:
        """Guards against truncated messages that make the library abort."""
        rng = random.Random(1)
        bodies = (_NOTICE, test_queue_owners.ABORTING_DATAGRAM)
        for body in (*bodies, *_TRUNCATED):
            for number in range(len(_KINDS)):
                self.send_body(number, body)
        for number in range(_DAMAGED_COUNT):
            self.send_body(number, damaged(rng, bodies[number % len(bodies)]))
        self.check()


class UnpackTest(unittest.TestCase):
    def test_packed_messages_are_read_back(self) -> None:
        rng = random.Random(1)
        for _ in range(1_000):
            message = queue_codec.WaitQuery(
                rng.getrandbits(16),
                rng.getrandbits(3),
                tuple(rng.getrandbits(32) for _ in range(rng.randrange(16))),
                tuple(rng.getrandbits(8) for _ in range(rng.randrange(5))),
            )
            decoded = queue_codec.decode(queue_codec.encode(message))
            self.assertEqual(decoded.unwrap(), message)

    def test_messages_that_grow_are_refused(self) -> None:
        """Guards against a datagram that takes the memory of a gateway."""
        zeros = bytes((0, 255)) * (datagrams.DATAGRAM_LIMIT_BYTES // 2)
        refused = notice_codec.decode(zeros)
        self.assertIsInstance(refused, Err)
        self.assertIn("too large", refused.unwrap_err().message)

    def test_truncated_messages_are_refused(self) -> None:
        for length in range(len(_NOTICE)):
            with self.subTest(length=length):
                refused = notice_codec.decode(_NOTICE[:length])
                self.assertIsInstance(refused, Err)
