"""The adapter decodes the platform's headers, records and settings, and refuses malformed ones."""

import base64
import json
import random

from tornado.httputil import HTTPHeaders

from jayvalve.errors import (
    InvalidHeaderError,
    InvalidSettingsError,
    LogUnavailableError,
)
from jayvalve.internal.gateway.http_client import HttpPool, PoolSettings
from jayvalve.internal.gateway.ledger import BudgetLedger, LedgerSettings
from jayvalve.internal.gateway.model import EngineState, RouteKind
from jayvalve.internal.gateway.partitions import PartitionMap
from jayvalve.internal.gateway.storage import Storage, StorageSettings
from jayvalve.internal.gateway.store_paths import PathSettings, StorePaths
from jayvalve.internal.gateway.turns import Turn, TurnSettings, TurnStore
from jayvalve.internal.timing import Clock, Deadline
from jayvalve.platform.headers import PlatformHeaders
from jayvalve.platform.records import decode_configuration, decode_engine
from jayvalve.platform.relay import PeerCopy
from jayvalve.platform.settings import PlatformSettings
from jayvalve.platform.store import StoreClient, decode_keyed, encode_keyed
from jayvalve.platform.topics import KeyedTopic
from jayvalve.standins.platform_store import PlatformStore, PlatformStoreSettings
from tests.platform_support import configuration
from tests.support import AsyncTestCase

ENTRY = {
    "service": "models",
    "address": "10.0.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 500,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
SETTINGS = {
    "node_name": "edge-1",
    "zone": "zone-a",
    "ip": "10.0.0.1",
    "listen_addresses": {"frontend": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "internal_ports": [7380, 7395],
    "limits": {"memory_mb": 170},
    "bounds": {"drain_ms": 2000, "grace_s": 8},
    "platform": {
        "address": "10.0.0.2:82",
        "parts": 12,
        "record_bytes": 262_144,
        "call_bytes": 2_097_152,
        "retention_s": 300,
    },
}


def headers(**fields):
    return HTTPHeaders({name.replace("_", "-"): value for name, value in fields.items()})


class HeaderTests(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.codec = PlatformHeaders()

    def test_decodes_a_turn(self):
        info = self.codec.decode_request(
            headers(
                X_Jayvalve_Attempt_Id="a1",
                X_Jayvalve_Program_Id="p1",
                X_Jayvalve_Deadline_Ms="1500",
                X_Jayvalve_Token_Budget="2288",
                X_Jayvalve_Token_Usage="1840,286",
                X_Jayvalve_Prompt_Prefix="5c1e:800,91bd:410",
                X_Jayvalve_Previous_Turn="a0",
            )
        )
        self.assertEqual(
            ("a1", "p1", 1.5, 2288),
            (info.attempt_id, info.program, info.deadline_s, info.token_budget),
        )
        self.assertEqual((1840, 286), (info.prompt_tokens, info.max_output_tokens))
        self.assertEqual((("5c1e", 800), ("91bd", 410)), info.prefix)

    def test_refuses_malformed_headers(self):
        for fields in (
            {},
            {"X_Jayvalve_Attempt_Id": "a" * 300},
            {"X_Jayvalve_Attempt_Id": "a", "X_Jayvalve_Deadline_Ms": "soon"},
            {"X_Jayvalve_Attempt_Id": "a", "X_Jayvalve_Deadline_Ms": "nan"},
            {"X_Jayvalve_Attempt_Id": "a", "X_Jayvalve_Token_Budget": "-5"},
            {"X_Jayvalve_Attempt_Id": "a", "X_Jayvalve_Token_Usage": "x,y"},
        ):
            self.assertRaises(InvalidHeaderError, self.codec.decode_request, headers(**fields))

    def test_drops_headers_that_only_the_gateway_may_set(self):
        """Guards against a caller that reserves or transfers an engine's memory."""
        received = headers(
            X_Jayvalve_Attempt_Id="a",
            X_Jayvalve_Retain="1",
            X_Jayvalve_Pin_Ms="9",
            X_Jayvalve_Kv_Backup="10.0.0.1:1",
            Kv_From="10.0.0.1:1/2",
            X_Jayvalve_Expected_Instance="other",
            X_Jayvalve_Request_Priority="0",
            Connection="keep-alive, X-Private",
            X_Private="1",
            X_Other="2",
        )
        sent = dict(self.codec.engine_headers(received, 1.25, "i-1", 3))
        self.assertEqual(
            {
                "X-Jayvalve-Attempt-Id": "a",
                "X-Other": "2",
                "X-Jayvalve-Deadline-Ms": "1250",
                "X-Jayvalve-Expected-Instance": "i-1",
                "X-Jayvalve-Request-Priority": "3",
            },
            sent,
        )

    def test_a_success_must_echo_the_attempt_id(self):
        """Guards against accepting an extra answer as the answer to the next request."""
        self.assertTrue(self.codec.is_answer_to("a", 200, headers(X_Jayvalve_Attempt_Id="a")))
        self.assertFalse(self.codec.is_answer_to("a", 200, headers(X_Jayvalve_Attempt_Id="b")))
        self.assertFalse(self.codec.is_answer_to("a", 200, headers()))
        self.assertTrue(self.codec.is_answer_to("a", 503, headers()))


class RecordTests(AsyncTestCase):
    def test_decodes_an_engine(self):
        record = decode_engine("i-1", json.dumps(ENTRY).encode())
        self.assertEqual(("i-1", 1_700_000_000_000), (record.key.id, record.key.born_ms))
        self.assertEqual((("10.0.0.9", 8080), EngineState.READY), (record.address, record.state))

    def test_ignores_malformed_engine_entries(self):
        broken = [b"", b"\xff", b"[]", b"null", b"7"]
        for name, value in (
            ("state", "unknown"),
            ("slots", "8"),
            ("slots", 0),
            ("address", "10.0.0.9"),
            ("address", "host:80"),
            ("address", 5),
            ("service", None),
            ("born", 1.5),
        ):
            broken.append(json.dumps({**ENTRY, name: value}).encode())
        for name in ("service", "address", "slots", "state"):
            entry = {key: value for key, value in ENTRY.items() if key != name}
            broken.append(json.dumps(entry).encode())
        self.assertEqual([None] * len(broken), [decode_engine("i", value) for value in broken])

    def test_decodes_a_configuration(self):
        table = decode_configuration(json.dumps(configuration(version=4)).encode())
        route = table.match("shop.example", "/chat/2f")
        self.assertEqual(
            (4, RouteKind.STREAMING, True), (table.version, route.kind, route.retained)
        )
        self.assertIsNone(table.match("shop.example", "/chat"))
        self.assertIsNone(table.match("other.example", "/chat/"))

    def test_the_longest_prefix_wins(self):
        document = configuration()
        special = {**document["routes"][0], "name": "vip", "path_prefix": "/chat/vip/"}
        document["routes"].append(special)
        table = decode_configuration(json.dumps(document).encode())
        self.assertEqual("vip", table.match("shop.example", "/chat/vip/1").name)

    def test_refuses_a_broken_configuration(self):
        for value in (b"", b"{}", b'{"version": "x", "routes": [], "services": []}'):
            self.assertRaises(InvalidSettingsError, decode_configuration, value)


class SettingsTests(AsyncTestCase):
    def test_reads_the_settings(self):
        settings = PlatformSettings.from_config(SETTINGS)
        self.assertEqual((("10.0.0.1", 7380), None), (settings.peer, settings.control))

    def test_refuses_malformed_settings(self):
        for name, value in (
            ("listen_addresses", {}),
            ("platform", None),
            ("bounds", None),
            ("internal_ports", []),
            ("limits", {}),
        ):
            self.assertRaises(
                InvalidSettingsError, PlatformSettings.from_config, {**SETTINGS, name: value}
            )
        self.assertRaises(InvalidSettingsError, PlatformSettings.from_config, None)


class StoreTests(AsyncTestCase):
    def run_with_store(self, scenario, **settings):
        async def run():
            store = PlatformStore(PlatformStoreSettings(**settings))
            port = await store.start()
            pool = HttpPool(PoolSettings(), Clock())
            try:
                await scenario(store, StoreClient(("127.0.0.1", port), pool))
            finally:
                pool.close()
                await store.stop()

        self.run_async(run())

    def test_appends_and_reads(self):
        async def scenario(store, client):
            self.assertEqual(0, await client.append("topic", 1, [b"a", b"bb"], 1.0))
            self.assertEqual(2, await client.append("topic", 1, [b""], 1.0))
            page = await client.read("topic", 1, 1, 1.0)
            self.assertEqual(((b"bb", b""), 3, 3), (page.records, page.end, page.next))
            empty = await client.read("topic", 1, 3, 1.0)
            self.assertEqual((), empty.records)

        self.run_with_store(scenario)

    def test_reports_expired_records(self):
        async def scenario(store, client):
            await client.append("topic", 0, [b"a", b"b"], 1.0)
            await client.trim("topic", 0, 1, 1.0)
            page = await client.read("topic", 0, 0, 1.0)
            self.assertEqual((1, ()), (page.first, page.records))

        self.run_with_store(scenario)

    def test_turns_and_budgets_outlive_the_expiry_of_older_records(self):
        """Guards against status 500 for each turn once the store has dropped its oldest records."""

        async def scenario(store, client):
            clock = Clock()
            paths = StorePaths(
                client, lambda _: client, lambda: [], clock, PathSettings(), random.Random(1)
            )
            storage = Storage(paths, clock, StorageSettings(), random.Random(1), None)
            partitions = PartitionMap("turn-", 1, 1)
            deadline = Deadline.after(clock, 5.0)
            for name in ("t0", "t1"):
                turns = TurnStore(storage, partitions, TurnSettings())
                await turns.save(Turn(name, b"in", b"out"), deadline)
            await client.trim("turn-0", 0, 1, 1.0)
            chain = await TurnStore(storage, partitions, TurnSettings()).chain("t1", deadline)
            self.assertEqual(["t1"], [turn.id for turn in chain])
            await client.append("budget-0", 0, [b"expired"], 1.0)
            await client.trim("budget-0", 0, 1, 1.0)
            ledger = BudgetLedger(
                storage, PartitionMap("budget-", 1, 1), clock, LedgerSettings(), "gw"
            )
            reservation = await ledger.reserve("program", "turn", 10, 100, deadline)
            self.assertEqual(10, reservation.tokens)

        self.run_with_store(scenario)

    def test_a_start_uses_the_newest_copy_of_the_other_gateways(self):
        """Guards against an engine that left being used again after a restart without the store.

        The first gateway asked was cut off before the engine left.
        """

        class Peer:
            def __init__(self, values, following):
                encoded = {key: base64.b64encode(value).decode() for key, value in values.items()}
                self.body = json.dumps({"values": encoded, "next": following}).encode()

            async def forward(self, method, target, body, timeout_s):
                return 200, self.body

        async def run():
            outdated = Peer({"left": b"x", "stays": b"y"}, 4)
            malformed = Peer({}, 0)
            malformed.body = b'{"values": {"left": 3}, "next": 9}'
            newest = Peer({"stays": b"y"}, 7)
            copy = PeerCopy(lambda: [outdated, malformed, newest], "keyed.servers")
            return await copy.snapshot(1.0)

        self.assertEqual(({"stays": b"y"}, 7), self.run_async(run()))

    def test_a_page_holds_at_least_one_record(self):
        """Guards against a turn longer than the limit of a page, which would never be read."""

        async def scenario(store, client):
            await client.append("topic", 0, [b"a" * 3000, b"b" * 3000], 1.0)
            page = await client.read("topic", 0, 0, 1.0, max_bytes=1)
            self.assertEqual((1, 2), (len(page.records), page.end))

        self.run_with_store(scenario)

    def test_a_refused_append_is_reported_as_not_run(self):
        async def scenario(store, client):
            for topic, part in (("keyed.op", 0), ("topic", 99)):
                try:
                    await client.append(topic, part, [b"a"], 1.0)
                except LogUnavailableError as error:
                    self.assertTrue(error.verdict.repeatable)
                else:
                    self.fail("the append was accepted")

        self.run_with_store(scenario)

    def test_expired_changes_require_a_new_snapshot(self):
        """Guards against a follower that misses changes that expired before it read them."""

        async def scenario(store, client):
            topic = KeyedTopic(lambda: client, "keyed.servers")
            for number in range(3):
                store.put("keyed.servers", f"i-{number}", ENTRY)
            values, after = await topic.snapshot(1.0)
            self.assertEqual(3, len(values))
            store.put("keyed.servers", "i-0", None)
            changes, after = await topic.changes(after, 1.0, 0.1)
            self.assertEqual([("i-0", None)], changes)
            store.put("keyed.servers", "i-9", ENTRY)
            store.forget("keyed.servers")
            self.assertIsNone(await topic.changes(after, 1.0, 0.1))
            values, _ = await topic.snapshot(1.0)
            self.assertEqual(["i-1", "i-2", "i-9"], sorted(values))

        self.run_with_store(scenario)

    def test_keyed_records_are_read_as_written(self):
        self.assertEqual(b"v", decode_keyed(encode_keyed("k", b"v")).value)
        self.assertIsNone(decode_keyed(encode_keyed("k", b"")).value)
        for record in (b"", b"\x00", b"\x05ab"):
            self.assertRaises(ValueError, decode_keyed, record)
