"""Hostile input of the daemon: its log, snapshots, claims, workers, files and log lines.

Guards against an error that the readers don't expect, which ends the task that reads.
"""

import tempfile
import zlib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, cast

import msgspec
from testtools import TestCase
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from robinthread._internal.claims.partition_owner import _decode_or_none
from robinthread._internal.cli.main import _parse_port
from robinthread._internal.fold.envelope import Envelope, decode_batch
from robinthread._internal.follow.host_list import make_http_host_list
from robinthread._internal.platform_log.errors import LogReplyLostError
from robinthread._internal.platform_log.http_client import make_http_log
from robinthread._internal.results import FaultError
from robinthread._internal.settings.parse import parse_file
from robinthread._internal.settings.policy_settings import PolicySettings
from robinthread._internal.snapshots.snapshot import decode_snapshot
from robinthread._internal.timeline.log_line import iter_log_lines
from robinthread._internal.upstream.control import ControlAction, ControlCall
from robinthread._internal.upstream.errors import UpstreamLostError
from robinthread._internal.upstream.http_client import make_http_upstream
from robinthread._internal.utils.files import read_text
from robinthread._internal.utils.foreign_input import MalformedInputError
from tests.lib.answering_fetcher import AnsweringFetcher
from tests.lib.hostile import BODIES, FRAGMENTS, list_hostile, list_packed
from tests.lib.virtual import run_virtual

ENVELOPE = Envelope("config_published", "1", "d-1", "x", 3, msgspec.Raw(b"\x01"))
PAGE = {"records": [{"offset": 1, "data": "dg=="}], "first_offset": 0, "next_offset": 2}
LISTED = {"id": "i-1", "hall": "a", "address": "10.0.0.1:80", "pool": "p", "slots": 2}
TEXTS = ("x = " + "[" * 50_000, "x = " + "9" * 5_000, "a = 1\na = 2", "\x00", "x = 1e999")


class HostileDaemonInputTest(TestCase):
    def assert_typed(
        self, values: Sequence[bytes], decode: Callable[[bytes], Any], error: type[Exception]
    ) -> None:
        """Assert that each value is decoded or raises the error, with a bounded text."""
        wrong = {}
        for value in values:
            try:
                decode(value)
            except error as found:
                if len(str(found)) > 500:
                    wrong[value[:40], len(value)] = "a long text"
            except Exception as found:  # the failure that is looked for
                wrong[value[:40], len(value)] = repr(found)[:100]
        self.assertEqual({}, wrong)

    def assert_answers_typed(
        self,
        bodies: Sequence[bytes],
        make_call: Callable[[AsyncHTTPClient], Awaitable[Any]],
        error: type[Exception],
    ) -> None:
        """Assert the same of the answer to a call."""

        def decode(body: bytes) -> Any:
            def answer(request: HTTPRequest) -> tuple[int, bytes]:
                return 200, body

            async def play() -> Any:
                client = cast(AsyncHTTPClient, AnsweringFetcher(answer))
                return await make_call(client)

            return run_virtual(play())

        self.assert_typed(bodies, decode, error)

    def test_records_of_the_log(self) -> None:
        """Guards against a record of the log that ends the follower of a daemon."""
        values = list_packed(msgspec.to_builtins([[*"abcd", 3, "x", 1]]))
        self.assert_typed(values, decode_batch, MalformedInputError)
        self.assertEqual(
            (ENVELOPE.kind,),
            tuple(e.kind for e in decode_batch(msgspec.msgpack.encode([ENVELOPE]))),
        )

    def test_claims(self) -> None:
        """Guards against a claim that ends the owner of a partition."""
        for value in list_packed([1, "id", "owner", "x"]):
            _decode_or_none(value)

    def test_snapshots(self) -> None:
        """Guards against a snapshot with which no daemon starts."""
        values = [*BODIES, *(zlib.compress(body) for body in BODIES)]
        self.assertEqual([None] * len(values), [decode_snapshot(value) for value in values])

    def test_answers_of_the_log(self) -> None:
        """Guards against an answer of the log that ends the follower of a daemon."""

        async def read(client: AsyncHTTPClient) -> Any:
            return await make_http_log(client, "http://a:1", 1).read("s", 0, 1, 0)

        async def append(client: AsyncHTTPClient) -> Any:
            return await make_http_log(client, "http://a:1", 1).append("s", b"x")

        self.assert_answers_typed(list_hostile(PAGE), read, LogReplyLostError)
        self.assert_answers_typed(list_hostile({"offset": 1}), append, LogReplyLostError)

    def test_list_of_hosts(self) -> None:
        """Guards against a list that ends the task that reads it."""

        async def read(client: AsyncHTTPClient) -> Any:
            return await make_http_host_list(client, "http://a:1")()

        self.assert_answers_typed(list_hostile([LISTED]), read, MalformedInputError)

    def test_answers_of_workers(self) -> None:
        """Guards against a worker's answer that ends the task that called it."""
        call = ControlCall(ControlAction.STOP, 1)

        async def control(client: AsyncHTTPClient) -> Any:
            return await make_http_upstream(client, 1).control("a:1", call)

        async def report(client: AsyncHTTPClient) -> Any:
            return await make_http_upstream(client, 1).report("a:1")

        bodies = list_hostile({"is_done": True, "reason": ""})
        self.assert_answers_typed(bodies, control, UpstreamLostError)
        bodies = list_hostile({"boot_id": "b", "slots_in_use": 1, "token": 2})
        self.assert_answers_typed(bodies, report, UpstreamLostError)

    def test_log_lines(self) -> None:
        """Guards against a line that ends ``explain``: others are read."""
        sound = '{"at": 1.5, "node": "n", "event": "started"}'
        for fragment in FRAGMENTS:
            lines = [f'{{"at": {fragment}, "event": "x"}}', f'{{"x": {fragment}}}', fragment, sound]
            found = list(iter_log_lines(lines))
            self.assertEqual("started", found[-1].event)

    def test_files_and_arguments(self) -> None:
        """Guards against a traceback for an odd file or argument."""
        for text in TEXTS:
            parse_file(PolicySettings, text, "policy.toml", lambda settings: ())
        for text in ("\u00b2", "9" * 5_000, "-1", "", "70000", "0"):
            self.assertRaises(FaultError, _parse_port, text)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "x"
            path.write_bytes(b"\xff")
            for odd in (str(path), directory, "a\x00b"):
                self.assertRaises(FaultError, read_text, odd)
        self.assertEqual(80, _parse_port("80"))
