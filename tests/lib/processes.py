"""A deployment of real processes on loopback, for tests."""

import os
import re
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

SETTINGS = """
name = "{name}"
hall = "{hall}"

[listen]
caller_address = "127.0.0.1:0"
operator_address = "127.0.0.1:0"
metrics_address = "127.0.0.1:0"
peer_address = "tcp://127.0.0.1:0"
operator_token_file = "{token}"

[platform]
log_url = "http://{platform}"
host_list_url = "http://{platform}"
host_list_interval_s = 0.2

[dispatch]
report_interval_s = 0.5

[stop]
balancer_grace_s = 0.2
farewell_s = 0.2
"""
LIMIT_S = 60.0


class Process:
    """A robinthread process and the lines of its output."""

    def __init__(self, *arguments: str) -> None:
        self.lines: list[str] = []
        self._popen = subprocess.Popen(
            [sys.executable, "-m", "robinthread", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.pid = self._popen.pid
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def find(self, pattern: str) -> "re.Match[str]":
        """Return the first match of ``pattern`` in the output; wait up to ``LIMIT_S`` for it."""
        ends_at_s = time.monotonic() + LIMIT_S
        while time.monotonic() < ends_at_s:
            for line in tuple(self.lines):
                found = re.search(pattern, line)
                if found:
                    return found
            time.sleep(0.01)
        raise AssertionError(f"no line matched {pattern!r} within {LIMIT_S} s: {self.lines}")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        os.kill(self.pid, number)

    def wait(self) -> int:
        """Wait for the process to exit and return its exit code."""
        return self._popen.wait(LIMIT_S)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._popen.kill()
        self._popen.wait()
        self._reader.join()

    def list_children(self) -> str:
        """Return the ids of child processes, an empty string if there are none."""
        tasks = Path(f"/proc/{self.pid}/task").iterdir()
        return "".join((task / "children").read_text() for task in tasks).strip()

    def _read(self) -> None:
        assert self._popen.stdout is not None
        self.lines.extend(line.rstrip() for line in iter(self._popen.stdout.readline, ""))


class Site:
    """A platform, four workers and two daemons."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        self.token_file = folder / "token"
        self.token_file.write_text("secret\n")
        self.processes: list[Process] = []
        workers = [
            self._start("standin", "worker", f"--name=w{n}", "--listen=127.0.0.1:0", "--slots=4")
            for n in range(4)
        ]
        hosts = "".join(
            f'[[host]]\nname = "w{n}"\nhall = "kandy"\nrack = "r1"\n'
            f'address = "{worker.find(r"listening on (.*)")[1]}"\nslots = 4\nconnections = 64\n'
            for n, worker in enumerate(workers)
        )
        (folder / "hosts.toml").write_text(hosts)
        platform = self._start(
            "standin", "platform", "--listen=127.0.0.1:0", f"--hosts_file={folder}/hosts.toml"
        )
        self.platform = platform.find(r"listening on (.*)")[1]
        self.daemons = [self._start_daemon(folder, f"entry-{n}") for n in range(2)]
        for daemon in self.daemons:
            daemon.find("ready at offset")

    def run(self, *arguments: str, daemon: int = 0) -> "subprocess.CompletedProcess[str]":
        """Run an operator command against a daemon and return the completed process."""
        environment = os.environ | {
            "ROBINTHREAD_ADDRESS": self.get_address("operators", daemon),
            "ROBINTHREAD_TOKEN_FILE": str(self.token_file),
        }
        return subprocess.run(
            [sys.executable, "-m", "robinthread", *arguments],
            capture_output=True,
            text=True,
            env=environment,
            check=False,
        )

    def get_address(self, listener: str, daemon: int = 0) -> str:
        """Return the address of a daemon's listener, read from its output."""
        return self.daemons[daemon].find(rf"{listener} ([\d.]+:\d+)")[1]

    def close(self) -> None:
        """Kill all processes and remove the temporary folder."""
        for process in self.processes:
            process.kill()
        self._folder.cleanup()

    def _start(self, *arguments: str) -> Process:
        process = Process(*arguments)
        self.processes.append(process)
        return process

    def _start_daemon(self, folder: Path, name: str) -> Process:
        path = folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(name=name, hall="kandy", token=self.token_file, platform=self.platform)
        )
        return self._start("daemon", f"--settings={path}")
