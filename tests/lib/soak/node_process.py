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


class NodeProcess:
    """A node: its process, if it is running, and its proxies to the store and to the machines.

    ``stop_faults`` lists planned stops that exceeded the grace period or exited with an error.
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
        self._log_start_bytes = 0
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
        self._log_start_bytes = self._log.stat().st_size if self._log.exists() else 0
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
            self._process.send_signal(number)

    def step_clock(self, step_s: float) -> None:
        """Set the offset in seconds of the node's wall clock."""
        self._clock.write_text(str(step_s))

    def _has_logged(self) -> bool:
        """Return whether the process has logged a line: from then on it handles signals."""
        return self._log.stat().st_size > self._log_start_bytes

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
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
            if process.returncode and process is self._process and self._has_logged():
                self.stop_faults.append(f"{self.name} ended with {process.returncode}")
        except TimeoutError:
            self.stop_faults.append(f"{self.name} had not ended after {GRACE_S} s")
        finally:
            self.is_stopping = False
            if process is self._process:
                await self.kill()
