"""Calls whose address, headers or time-out are odd: a typed error, and the client goes on.

Guards against an exception that callers don't expect, a lost handle, and a call without an end.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from testtools import TestCase
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from robinthread._internal.utils.http_call import (
    CallLostError,
    CallUnsentError,
    call,
    make_client,
)
from tests.lib.virtual import run_virtual

HANDLES_MAX = 2
URLS = (
    "http://10.0.0.9:8080\n/x",
    "http://[bad/x",
    "http://127.0.0.1:70000/x",
    "http://127.0.0.1:0/x",
    "http://999.999.1.1:80/x",
    "http://127.0.0.1:80/a b",
    "http://127.0.0.1:80/\x00",
    "http://\u20ac.\udce2:80/",
    "",
    "http://" + "x" * 70_000 + ":80/",
)
HEADERS = (
    {"X-A": "a\r\nX-B: c"},
    {"X-A": "a\x00b"},
    {"X-A": "\u20ac"},
    {"X-A": "\udce2"},
)
# Longer than any bound of a call in this test.
WAIT_MAX_S = 5.0


class AnswerHandler(RequestHandler):
    """Answers at once, or much later than any call of this test takes."""

    async def get(self, name: str) -> None:
        if name == "silent":
            await asyncio.sleep(2 * WAIT_MAX_S)
        self.finish(b"ok")


@asynccontextmanager
async def serve() -> AsyncIterator[str]:
    """Serve on an ephemeral port; yield the address."""
    server = HTTPServer(Application([(r"/(\w+)", AnswerHandler)], log_function=lambda _: None))
    socket, port = bind_unused_port()
    server.add_sockets([socket])
    try:
        yield f"127.0.0.1:{port}"
    finally:
        server.stop()
        await server.close_all_connections()


class CallsNeverSentTest(TestCase):
    def assert_unsent(self, **fields: Any) -> str:
        """Make odd calls, more than there are handles, then a sound one; return what is wrong."""

        async def play() -> str:
            client = make_client(HANDLES_MAX)
            async with serve() as address:
                fault = ""
                for _ in range(2 * HANDLES_MAX):
                    url = fields.get("url") or f"http://{address}/x"
                    try:
                        await asyncio.wait_for(
                            call(client, url, timeout_s=0.3, headers=fields.get("headers")),
                            WAIT_MAX_S,
                        )
                    except CallUnsentError as error:
                        if len(str(error)) > 500:
                            fault = "a long text"
                    except CallLostError as error:
                        fault = repr(error)[:200]
                    except Exception as error:  # the failure that is looked for
                        fault = repr(error)[:200]
                    else:
                        fault = "it was sent"
                sound = f"http://{address}/x"
                response = await asyncio.wait_for(call(client, sound, timeout_s=1), WAIT_MAX_S)
                client.fetcher.close()
                return fault or ("" if response.body == b"ok" else "the client is broken")

        return asyncio.run(play())

    def test_url_may_be_odd(self) -> None:
        """Guards against an address of an entry that ends its owner."""
        faults = {url[:40]: fault for url in URLS[:-2] if (fault := self.assert_unsent(url=url))}
        self.assertEqual({}, faults)
        self.assertEqual("", self.assert_unsent(url=URLS[-1]))

    def test_headers_may_be_odd(self) -> None:
        """Guards against an id that ends its owner, or that adds a header."""
        faults = {
            str(headers): fault
            for headers in HEADERS
            if (fault := self.assert_unsent(headers=headers))
        }
        self.assertEqual({}, faults)

    def test_tiny_timeout_ends(self) -> None:
        """Guards against a time-out that rounds to 0, which libcurl takes as none."""

        async def play() -> list[str]:
            client, found = make_client(HANDLES_MAX), []
            async with serve() as address:
                for timeout_s in (0.0004, 0.0, -1.0):
                    try:
                        await asyncio.wait_for(
                            call(client, f"http://{address}/silent", timeout_s=timeout_s),
                            WAIT_MAX_S,
                        )
                    except (CallLostError, CallUnsentError):
                        found.append("")
                    except Exception as error:  # the failure that is looked for
                        found.append(repr(error)[:100])
            client.fetcher.close()
            return found

        self.assertEqual(["", "", ""], asyncio.run(play()))

    def test_call_whose_answer_is_never_told_ends(self) -> None:
        """Guards against a caller that waits for ever for a client that lost its request."""

        async def play() -> str:
            client = make_client(HANDLES_MAX)

            class _NoAnswer:
                async def fetch(self, *_: object, **__: object) -> None:
                    await asyncio.Event().wait()

            object.__setattr__(client, "fetcher", _NoAnswer())
            try:
                await asyncio.wait_for(call(client, "http://127.0.0.1:1/", timeout_s=0.1), 60)
            except (CallLostError, CallUnsentError):
                return ""
            except TimeoutError:
                return "no end"
            return "an answer"

        self.assertEqual("", run_virtual(play()))
