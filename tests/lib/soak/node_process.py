"""A real node in a process, which can be signalled, with proxies to the services it calls."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from tests.lib.soak.proxy import LoopbackProxy

SETTINGS = """
node = "{name}"
advice = "{advice}"
ip = "{ip}"
zone = "hall"
port_range = [7003, 7003]

[listen]
front = "{ip}:7001"
ready = "{ip}:7002"

[bounds]
grace_s = 6.0
evacuation_ms = 5000

[platform]
address = "{store}"
parts = 12

[cloud]
address = "{machines}"
duty_per_s = 64
"""
GRACE_S = 6.0
CALLERS_PORT = 7001
# Signals that end a process that does not handle them, among those that a soak sends.
ENDING_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
# The masks of ignored and of handled signals in a process's status.
HANDLED_FIELDS = ("SigIgn:", "SigCgt:")


class NodeProcess:
    """A node: its process, if it is running, and its proxies to the store and to the machines.

    ``stop_faults`` lists planned stops that exceeded the grace period or exited with an error, and
    processes that ended by themselves.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        folder: Path,
        store: tuple[str, int],
        machines: tuple[str, int],
        advice: tuple[str, int],
    ) -> None:
        self._advice = "{}:{}".format(*advice)
        self.name = name
        self.ip = ip
        self.store = LoopbackProxy(store)
        self.machines = LoopbackProxy(machines)
        self.stop_faults: list[str] = []
        # Set during a planned stop, in which the process gets no other signals.
        self.is_stopping = False
        self.is_paused = False
        self._clock = folder / f"{name}.clock"
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        # Whether a signal was sent that the process, which was just started, did not handle yet.
        self._got_unhandled = False
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_up(self) -> bool:
        """Return whether there is a process that is not being stopped."""
        return self._process is not None and not self.is_stopping

    async def begin(self) -> None:
        """Start the proxies, write the settings file and start the process."""
        await self.store.start()
        await self.machines.start()
        self._clock.write_text("0")
        addresses = {
            "store": self.store.address,
            "machines": self.machines.address,
            "advice": self._advice,
        }
        self._settings.write_text(SETTINGS.format(name=self.name, ip=self.ip, **addresses))
        await self.start()

    async def start(self) -> None:
        """Start a process unless one exists."""
        if self._process is not None:
            return
        self._got_unhandled = False
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "tests.lib.soak.stepped_clock", str(self._clock)),
                env=os.environ | {"ROBINTHREAD_NODE_FILE": str(self._settings)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self._process.returncode is None:
            self._got_unhandled |= number in ENDING_SIGNALS and not self._handles(number)
            self._process.send_signal(number)

    def step_clock(self, step_s: float) -> None:
        """Set the offset in seconds of the node's wall clock."""
        self._clock.write_text(str(step_s))

    def _handles(self, number: int) -> bool:
        """Return whether the process handles or ignores a signal; also if it is gone."""
        assert self._process is not None
        try:
            lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        except OSError:
            return True
        masks = (int(line.split()[1], 16) for line in lines if line.startswith(HANDLED_FIELDS))
        return any(mask >> (number - 1) & 1 for mask in masks)

    def _check_end(self) -> None:
        """Report a process that has ended with an error, unless a signal came too early for it."""
        code = None if self._process is None else self._process.returncode
        if code and not self._got_unhandled:
            self.stop_faults.append(f"{self.name} ended with {code}")

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._check_end()
        process, self._process = self._process, None
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    async def stop(self) -> None:
        """Stop the process as planned; kill it if it has not ended after ``GRACE_S``."""
        process = self._process
        if process is None or self.is_stopping or self.is_paused:
            return
        self.is_stopping = True
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            self.stop_faults.append(f"{self.name} had not ended after {GRACE_S} s")
        finally:
            self.is_stopping = False
            if process is self._process:
                await self.kill()
