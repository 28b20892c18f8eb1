"""Tests of the frames between entry VMs: round trips and rejected frames."""

import random
import unittest
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from mulberrywharf import errors
from mulberrywharf.nodes import codec, messages
from tests import builders_nodes

_KEY = b"k" * 32


def _open(opener: codec.FrameOpener, frame: bytes):
    size = codec.HEADER.size
    return opener.open(frame[:size], frame[size:])


def _seal(key: bytes, message: messages.Message) -> bytes:
    envelope = messages.Envelope("entry-1", 7, message)
    return codec.FrameSealer(key).seal(envelope).unwrap()


class RoundTripTest(unittest.TestCase):
    def test_every_type_of_message(self):
        for message in builders_nodes.one_of_each_message():
            with self.subTest(type=type(message).__name__):
                envelope = messages.Envelope("entry-1", 7, message)
                decoded = codec.decode(codec.encode(envelope))
                self.assertEqual(decoded, Ok(envelope))

    def test_a_sealed_frame_opens(self):
        opened = _open(
            codec.FrameOpener(_KEY), _seal(_KEY, messages.Leaving(3))
        )
        self.assertEqual(opened.unwrap().message, messages.Leaving(3))


class RejectionTest(unittest.TestCase):
    def assert_rejected(self, result):
        self.assertIsInstance(result, Err)
        self.assertIsInstance(result.err_value, errors.BadFrameError)

    def test_wrong_key(self):
        frame = _seal(b"x" * 32, messages.Leaving(3))
        self.assert_rejected(_open(codec.FrameOpener(_KEY), frame))

    def test_replay_on_another_connection_or_direction(self):
        """A replayed frame must be rejected on every other connection.

        If all connections shared one key, an old leaving notice could be
        replayed on a new connection, or back to its sender, and make the
        nodes of the zone look like leaving.
        """
        keys = codec.session_keys(_KEY, b"c" * 16, b"s" * 16)
        frame = _seal(keys.client_to_server, messages.Leaving(3))
        others = (
            codec.session_keys(_KEY, b"c" * 16, b"t" * 16).client_to_server,
            keys.server_to_client,
        )
        for other in others:
            with self.subTest(other=other.hex()):
                self.assert_rejected(_open(codec.FrameOpener(other), frame))

    def test_replay_on_the_same_connection(self):
        """A replayed frame must be rejected on its own connection.

        Its MAC is valid, so without the check of the sequence number, one
        claim would be handled twice.
        """
        opener = codec.FrameOpener(_KEY)
        frame = _seal(_KEY, messages.Leaving(3))
        self.assertIsInstance(_open(opener, frame), Ok)
        self.assert_rejected(_open(opener, frame))

    def test_every_truncation_of_a_payload(self):
        for message in builders_nodes.one_of_each_message():
            payload = codec.encode(messages.Envelope("entry-1", 7, message))
            for size_bytes in range(len(payload)):
                with self.subTest(type(message).__name__, size=size_bytes):
                    self.assert_rejected(codec.decode(payload[:size_bytes]))

    def test_damaged_payloads(self):
        """A damaged payload must not abort the process.

        A payload of a faulty peer passes authentication but is shorter than
        its content declares. The reader of packed messages throws from a C++
        destructor then, and a router aborts with "Premature EOF" and no Python
        traceback.
        """
        rng = random.Random(1)
        for message in builders_nodes.one_of_each_message():
            payload = codec.encode(messages.Envelope("entry-1", 7, message))
            for _ in range(1000):
                damaged = bytearray(payload)
                damaged[rng.randrange(len(damaged))] = rng.randrange(256)
                cut = rng.randrange(1, len(damaged) + 1)
                result = codec.decode(bytes(damaged[:cut]))
                if isinstance(result, Err):
                    self.assert_rejected(result)

    def test_damaged_flat_messages(self):
        rng = random.Random(1)
        message = builders_nodes.one_of_each_message()[0]
        envelope = messages.Envelope("entry-1", 7, message)
        flat = zlib.decompress(codec.encode(envelope))
        for _ in range(2000):
            damaged = bytearray(flat[: rng.randrange(1, len(flat) + 1)])
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
            result = codec.decode(zlib.compress(bytes(damaged), 1))
            if isinstance(result, Err):
                self.assert_rejected(result)

    def test_a_payload_that_inflates_beyond_the_limit(self):
        payload = zlib.compress(bytes(64 * codec.FRAME_LIMIT_BYTES), 9)
        self.assertLess(len(payload), codec.FRAME_LIMIT_BYTES)
        self.assert_rejected(codec.decode(payload))

    def test_frames_and_messages_above_the_size_limit(self):
        header = codec.HEADER.pack(codec.FRAME_LIMIT_BYTES + 1, 1, b"0" * 16)
        opener = codec.FrameOpener(_KEY)
        self.assert_rejected(opener.payload_bytes(header))
        document = messages.ConfigDocument(b"x" * codec.FRAME_LIMIT_BYTES)
        sealer = codec.FrameSealer(_KEY)
        envelope = messages.Envelope("entry-1", 1, document)
        self.assert_rejected(sealer.seal(envelope))

    def test_change_of_any_byte_after_the_length(self):
        frame = _seal(_KEY, messages.Leaving(3))
        for position in range(4, len(frame)):
            changed = bytearray(frame)
            changed[position] ^= 1
            self.assert_rejected(_open(codec.FrameOpener(_KEY), bytes(changed)))


class ArbitraryBytesTest(unittest.TestCase):
    @settings(max_examples=400, deadline=None)
    @given(st.binary(max_size=400))
    def test_frame_without_authentication(self, data):
        opened = _open(codec.FrameOpener(_KEY), data)
        self.assertIsInstance(opened.err_value, errors.BadFrameError)

    @settings(max_examples=600, deadline=None)
    @given(st.binary(max_size=400))
    def test_authenticated_payload(self, data):
        decoded = codec.decode(data)
        if isinstance(decoded, Err):
            self.assertIsInstance(decoded.err_value, errors.BadFrameError)

    @settings(max_examples=600, deadline=None)
    @given(
        st.sampled_from(builders_nodes.one_of_each_message()),
        st.data(),
    )
    def test_damaged_message(self, message, data):
        payload = bytearray(
            codec.encode(messages.Envelope("entry-1", 7, message))
        )
        position = data.draw(st.integers(0, len(payload) - 1))
        payload[position] = data.draw(st.integers(0, 255))
        decoded = codec.decode(bytes(payload))
        if isinstance(decoded, Err):
            self.assertIsInstance(decoded.err_value, errors.BadFrameError)


if __name__ == "__main__":
    unittest.main()
