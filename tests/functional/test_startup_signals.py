"""Guards against servers that a signal ends while they start, or while they end."""

import fcntl
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from testtools import TestCase

from tests.lib.node_settings import find_free_ports, format_settings

GRACE_S = 2.5
CHANGED_GRACE_S = 2.6
WAIT_MAX_S = 30.0
# Most modules of a server are imported between these, and the last one only by a node.
FIRST_IMPORT, LAST_IMPORT = "robinthread._internal.cli", "robinthread._internal.node.process"
# Too small for the names of all modules, so that a server waits for their reader.
PIPE_BYTES = 4096
SERVERS = (
    ("node",),
    ("daemon", "--settings=/nonexistent"),
    ("standin", "platform", "--listen=127.0.0.1:0"),
)
# A node that gets SIGHUP as soon as its event loop is closed.
SIGNAL_AFTER_CLOSE = """
import asyncio, os, signal, sys
close = asyncio.SelectorEventLoop.close
def close_and_signal(loop):
    close(loop)
    os.kill(os.getpid(), signal.SIGHUP)
asyncio.SelectorEventLoop.close = close_and_signal
sys.argv = ["robinthread", "node"]
from robinthread.__main__ import main_and_exit
main_and_exit()
"""


class StartupSignalsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name) / "node.toml"
        self.ports = find_free_ports()

    def test_sighup_does_not_end_a_node_that_starts(self) -> None:
        """SIGHUP ended a node from its start until it had read its settings."""
        self._write_settings()
        with self._run("-X", "importtime", "-m", "robinthread", "node") as process:
            for _ in iter_imports(process, FIRST_IMPORT, LAST_IMPORT):
                process.send_signal(signal.SIGHUP)
            read_event(process, "started")
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(WAIT_MAX_S))

    def test_stop_during_the_start_of_a_server_is_not_an_error(self) -> None:
        """SIGTERM and SIGINT ended servers that loaded their modules with an error."""
        self._write_settings()
        for server in SERVERS:
            for number in (signal.SIGTERM, signal.SIGINT):
                with self._run("-X", "importtime", "-m", "robinthread", *server) as process:
                    next(iter_imports(process, FIRST_IMPORT, LAST_IMPORT))
                    process.send_signal(number)
                    self.assertEqual(0, process.wait(WAIT_MAX_S), f"{server} {number!r}")

    def test_settings_that_change_while_they_are_read_are_read_again(self) -> None:
        """SIGHUP ended a node that was reading its settings, or their change was lost."""
        os.mkfifo(self.settings)
        with self._run("-m", "robinthread", "node") as process:
            # This waits until the node reads.
            with self.settings.open("w") as former:
                changed = self.settings.with_name("changed.toml")
                changed.write_text(format_settings(self.ports, CHANGED_GRACE_S))
                changed.replace(self.settings)
                process.send_signal(signal.SIGHUP)
                former.write(format_settings(self.ports, GRACE_S))
            reloaded = read_event(process, "settings_reloaded")
            self.assertEqual(("signal", ["bounds"]), (reloaded["cause"], reloaded["changed"]))
            process.send_signal(signal.SIGTERM)
            stopping = read_event(process, "stopping")
            self.assertEqual(CHANGED_GRACE_S, stopping["grace_s"])
            self.assertEqual(0, process.wait(WAIT_MAX_S))

    def test_signal_after_a_stop_does_not_turn_it_into_an_error(self) -> None:
        """SIGHUP ended a node whose event loop was closed, before it had ended by itself."""
        self._write_settings()
        with self._run("-c", SIGNAL_AFTER_CLOSE) as process:
            read_event(process, "started")
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(WAIT_MAX_S))

    def _write_settings(self) -> None:
        self.settings.write_text(format_settings(self.ports, GRACE_S))

    @contextmanager
    def _run(self, *arguments: str) -> Iterator["subprocess.Popen[bytes]"]:
        """Run Python with the arguments; kill the process at the end."""
        with subprocess.Popen(
            [sys.executable, *arguments],
            env=os.environ | {"ROBINTHREAD_NODE_FILE": str(self.settings)},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        ) as process:
            try:
                fcntl.fcntl(process.stderr, fcntl.F_SETPIPE_SZ, PIPE_BYTES)  # type: ignore[arg-type]
                yield process
            finally:
                process.kill()


def iter_imports(process: "subprocess.Popen[bytes]", first: str, last: str) -> Iterator[str]:
    """Iterate over the modules that a process imports, in the order in which that ends."""
    assert process.stderr is not None
    names = (line.decode().split()[-1] for line in process.stderr)
    found = itertools.dropwhile(lambda name: name != first, names)
    return itertools.takewhile(lambda name: name != last, found)


def read_event(process: "subprocess.Popen[bytes]", event: str) -> dict[str, Any]:
    """Read a node's log up to an event, and return that."""
    assert process.stdout is not None
    events = (json.loads(line) for line in process.stdout if line.startswith(b"{"))
    return next(found for found in events if found["event"] == event)
