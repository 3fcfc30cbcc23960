"""A gateway goes on sending its loads to others that stopped a short time ago."""

from testtools import TestCase

from jayvalve.internal.gateway.peer_directory import DirectoryRetention, PeerDirectory
from jayvalve.internal.timing import ManualClock

A, B, C = ("10.0.0.1", 7000), ("10.0.0.2", 7000), ("10.0.0.3", 7000)


class PeerDirectoryTests(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.directory = PeerDirectory(self.clock, DirectoryRetention(departed_s=20.0))
        self.directory.replace_all({"a": A, "b": B})

    def test_a_withdrawn_gateway_gets_messages_for_a_time(self):
        """Guards against a restarted gateway that hears of no other while the store is away."""
        self.directory.apply("b", None)
        self.assertEqual(
            ([A], [A, B]), (self.directory.registered, self.directory.message_targets())
        )
        self.clock.advance(20.1)
        self.assertEqual([A], self.directory.message_targets())

    def test_a_gateway_that_returns_is_listed_once(self):
        """Guards against two messages a round to the same gateway."""
        self.directory.apply("b", None)
        self.directory.apply("b", B)
        self.assertEqual([A, B], self.directory.message_targets())
        self.directory.apply("b", B)
        self.clock.advance(20.1)
        self.assertEqual([A, B], self.directory.message_targets())

    def test_a_snapshot_without_a_gateway_is_a_withdrawal(self):
        """Guards against gateways that are forgotten at once after a gap in the topic."""
        self.directory.replace_all({"a": A, "c": C})
        self.assertEqual([A, C], self.directory.registered)
        self.assertEqual([A, C, B], self.directory.message_targets())

    def test_a_gateway_at_a_new_address_is_reached_at_both(self):
        """Guards against a change of address that is mistaken for a repeated record."""
        self.directory.apply("a", C)
        self.assertEqual([B, C], self.directory.registered)
        self.assertEqual([B, C, A], self.directory.message_targets())

    def test_gateways_that_hear_each_other_go_on_sending(self):
        """Guards against a restarted gateway that is forgotten in a long outage of the store."""
        self.directory.apply("b", None)
        self.clock.advance(20.1)
        self.assertEqual([A, B], self.directory.message_targets([B]))
        self.assertEqual([A], self.directory.message_targets([A]))
