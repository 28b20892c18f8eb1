"""Tests of connections to peers that are paused, lost or unauthenticated."""

import os
import unittest

import gevent
import gevent.server
from gevent import socket as gevent_socket
from result import Ok

from mulberrywharf import errors, fleet
from mulberrywharf.nodes import codec, frames, link, messages, server
from tests import builders_claims, builders_nodes

_HALF_MEGABYTE = messages.ConfigDocument(b"x" * 512 * 1024)


class LinkTestCase(unittest.TestCase):
    def start_server(self, key=builders_nodes.KEY, **options):
        started = server.NodeServer("127.0.0.1", 0, "entry-1", key, **options)
        started.start()
        self.addCleanup(started.close)
        return started

    def start_link(self, port, key=builders_nodes.KEY):
        started = link.Link(
            fleet.Address("127.0.0.1", port),
            "entry-2",
            key,
            frames.Traffic(),
        )
        started.start()
        self.addCleanup(started.close)
        return started

    def fetch(self, connected):
        return connected.call(messages.ConfigFetch(), 5.0)


class CallTest(LinkTestCase):
    def test_replies_reach_the_calls_that_wait_for_them(self):
        node_server = self.start_server()

        def reply_after_wait(sender, message):
            gevent.sleep(message.wait_s)
            return messages.ConfigDocument(str(message.wait_s).encode())

        node_server.register(
            messages.ClaimWait, reply_after_wait, may_wait=True
        )
        connected = self.start_link(node_server.port)
        waits = [0.3, 0.0, 0.2, 0.1]
        calls = [
            gevent.spawn(
                connected.call,
                messages.ClaimWait(builders_nodes.DIGEST, wait_s),
                10.0,
            )
            for wait_s in waits
        ]
        documents = [c.get(timeout=15).unwrap().document for c in calls]
        self.assertEqual(documents, [str(w).encode() for w in waits])

    def test_a_lost_connection_fails_the_call_and_is_reestablished(self):
        node_server = self.start_server()
        connected = self.start_link(node_server.port)
        builders_claims.wait_until(lambda: connected.connected)
        call = gevent.spawn(
            connected.call, messages.ClaimWait(b"0" * 16, 1.0), 15.0
        )
        gevent.sleep(0.05)
        node_server.close()
        lost = call.get(timeout=15)
        self.assertIsInstance(lost.err_value, errors.NodeUnreachableError)
        node_server.register(
            messages.ConfigFetch, lambda *_: messages.ConfigDocument(b"1")
        )
        node_server.start()
        builders_claims.wait_until(
            lambda: isinstance(self.fetch(connected), Ok)
        )

    def test_a_peer_with_another_key_is_rejected(self):
        node_server = self.start_server()
        handled = []
        node_server.register(
            messages.Leaving, lambda *message: handled.append(message)
        )
        peer = self.start_link(node_server.port, key=b"x" * 32)
        builders_claims.wait_until(lambda: peer.connected)
        peer.send(messages.Leaving(1))
        builders_claims.wait_until(
            lambda: node_server.traffic.refused_count > 0
        )
        self.assertEqual(handled, [])


class PausedPeerTest(LinkTestCase):
    def test_sending_to_a_peer_that_does_not_read(self):
        """A paused peer must not stop the heartbeats to the other peers.

        The buffers of the paused peer fill up. Without a timeout, the next
        write blocks, and so does the task that sends all heartbeats, until
        the other nodes suspect this one.
        """

        def accept_and_pause(sock, _):
            frames.handshake_as_server(
                sock,
                builders_nodes.KEY,
                os.urandom(codec.NONCE_BYTES),
                frames.Traffic(),
            )
            gevent.sleep(60)

        paused = gevent.server.StreamServer(("127.0.0.1", 0), accept_and_pause)
        paused.start()
        self.addCleanup(paused.stop, 0)
        connected = self.start_link(paused.server_port)
        builders_claims.wait_until(lambda: connected.connected)
        # The kernel closes such a connection only after 10 s; by then, a node
        # that sends nothing is suspected.
        is_sent = True
        while is_sent:
            with gevent.Timeout(5, AssertionError("a write blocks")):
                is_sent = isinstance(connected.send(_HALF_MEGABYTE), Ok)


class LostPeerTest(LinkTestCase):
    def test_an_idle_connection_is_closed(self):
        """Connections of failed VMs must not use up the connection limit.

        A VM that fails does not close its connections. If the server read
        them without a timeout, no node could connect any more after weeks.
        """
        node_server = self.start_server(idle_timeout_s=0.2)
        sock = gevent_socket.create_connection(("127.0.0.1", node_server.port))
        self.addCleanup(sock.close)
        frames.handshake_as_client(
            sock,
            builders_nodes.KEY,
            os.urandom(codec.NONCE_BYTES),
            frames.Traffic(),
        )
        sock.settimeout(20)
        self.assertEqual(sock.recv(1), b"")

    def test_a_client_that_sends_no_handshake(self):
        node_server = self.start_server()
        sock = gevent_socket.create_connection(("127.0.0.1", node_server.port))
        self.addCleanup(sock.close)
        sock.sendall(b"x" * frames.HANDSHAKE_BYTES)
        sock.settimeout(20)
        self.assertEqual(sock.recv(1), b"")
        connected = self.start_link(node_server.port)
        builders_claims.wait_until(lambda: connected.connected)
        self.assertIsInstance(connected.send(messages.Leaving(1)), Ok)


if __name__ == "__main__":
    unittest.main()
