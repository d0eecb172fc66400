"""Run stand-ins for the platform as processes."""

import asyncio
import tomllib
from collections.abc import Callable
from typing import NoReturn

import msgspec
from tornado.web import Application

from robinthread._internal.daemon.process import Listener
from robinthread._internal.follow.host_list import ListedHost
from robinthread._internal.results import FaultError, ResultCode, make_fault
from robinthread._internal.standins.host_list_standin import HostListStandin
from robinthread._internal.standins.http_servers import (
    make_platform_application,
    make_worker_application,
)
from robinthread._internal.standins.ledger import Ledger
from robinthread._internal.standins.log_standin import LogStandin
from robinthread._internal.standins.worker_standin import WorkerStandin
from robinthread._internal.utils.event_loop import run_server
from robinthread._internal.utils.files import read_text
from robinthread._internal.utils.foreign_input import shorten
from robinthread._internal.utils.startup_signals import STOP_SIGNALS

BODY_MAX_BYTES = 64_000_000


def run_platform(listen: str, hosts_file: str) -> NoReturn:
    """Serve a log and a host list until SIGTERM or SIGINT, then end the process with 0."""
    hosts = _read_hosts(hosts_file) if hosts_file else ()

    def make_application() -> Application:
        host_list = HostListStandin()
        host_list.set_hosts(hosts)
        return make_platform_application(LogStandin(), host_list)

    run_server(_serve(listen, make_application))


def run_worker(name: str, listen: str, slots: int, reboot_s: float) -> NoReturn:
    """Serve one worker until SIGTERM or SIGINT, then end the process with 0."""
    run_server(
        _serve(
            listen,
            lambda: make_worker_application(WorkerStandin(name, slots, Ledger(), reboot_s)),
        )
    )


async def _serve(listen: str, make_application: Callable[[], Application]) -> None:
    listener = Listener(listen)
    listener.serve(make_application(), BODY_MAX_BYTES)
    print(f"listening on {listener.address}", flush=True)
    stopped = asyncio.Event()
    for signal_number in STOP_SIGNALS:
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await listener.close()


def _read_hosts(path: str) -> tuple[ListedHost, ...]:
    try:
        raw = tomllib.loads(read_text(path))
        return msgspec.convert(raw.get("host", []), tuple[ListedHost, ...])
    except (ValueError, RecursionError) as error:
        problem = f"{path}: {shorten(str(error))}"
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, problem)) from error
