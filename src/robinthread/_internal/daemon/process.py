"""The daemon as an operating system process: listeners, HTTP clients and signals."""

import asyncio
import random
import signal
import ssl
import time
from pathlib import Path

from absl import logging
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from robinthread._internal.daemon.daemon import Daemon
from robinthread._internal.daemon.environment import Environment
from robinthread._internal.entry.handler import make_caller_application
from robinthread._internal.follow.host_list import ListedHost, make_http_host_list
from robinthread._internal.operators.listener import make_operator_application
from robinthread._internal.peers.pynng_transport import make_pynng_transport
from robinthread._internal.platform_log.http_client import make_http_log
from robinthread._internal.results import FaultError, ResultCode, make_fault
from robinthread._internal.settings.daemon_settings import DaemonSettings
from robinthread._internal.telemetry.counters import Counters
from robinthread._internal.telemetry.exporter import make_meter, make_metrics_application
from robinthread._internal.upstream.http_client import make_http_upstream

CONTROL_CONNECTIONS_MAX = 32
PLATFORM_CONNECTIONS_MAX = 32


class Listener:
    """A listening socket with its HTTP server; ``address`` has the port that was bound."""

    def __init__(self, address: str, tls: ssl.SSLContext | None = None) -> None:
        host, _, port = address.rpartition(":")
        self._sockets = bind_sockets(int(port), host.strip("[]"))
        self.address = f"{host}:{self._sockets[0].getsockname()[1]}"
        self._tls = tls
        self._server: HTTPServer | None = None

    def serve(self, application: Application, body_max_bytes: int) -> None:
        """Start the HTTP server for ``application`` on the bound sockets."""
        self._server = HTTPServer(
            application, ssl_options=self._tls, max_body_size=2 * body_max_bytes
        )
        self._server.add_sockets(self._sockets)

    async def close(self) -> None:
        """Stop listening and close connections after their responses are written."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


class DaemonProcess:
    """A daemon connected to the network, the platform and the clock of its machine."""

    def __init__(self, settings: DaemonSettings, counters: Counters | None = None) -> None:
        listen = settings.listen
        self._check_files(settings)
        tls = _make_tls(settings)
        self.callers = Listener(listen.caller_address, tls)
        self.operators = Listener(listen.operator_address, tls)
        self.metrics = Listener(listen.metrics_address)
        environment = make_environment(
            settings, counters or Counters(make_meter()), self.operators.address
        )
        self.daemon = Daemon(settings, environment)
        self._token = _read_token(listen.operator_token_file)

    async def start(self) -> None:
        """Start to serve on all listeners, then start the daemon.

        Operators and the metrics scraper are served at once, callers once the daemon is ready.
        """
        body_max_bytes = self.daemon.settings.entry.body_max_bytes
        observe_daemon(self.daemon)
        self.operators.serve(make_operator_application(self.daemon, self._token), body_max_bytes)
        self.metrics.serve(make_metrics_application(), body_max_bytes)
        self.callers.serve(make_caller_application(self.daemon), body_max_bytes)
        await self.daemon.start()

    async def stop(self) -> None:
        """Stop the daemon as planned, then close its listeners."""
        await self.daemon.stop()
        for listener in (self.callers, self.operators, self.metrics):
            await listener.close()

    def _check_files(self, settings: DaemonSettings) -> None:
        path = settings.listen.operator_schema_file
        if path:
            from robinthread._internal.operators.schema import check_schema

            check_schema(_read_file(path, "listen.operator_schema_file"), path)


def make_environment(
    settings: DaemonSettings, counters: Counters, operator_address: str
) -> Environment:
    """Return the interfaces of a daemon in production."""
    platform = settings.platform
    connections_max = settings.entry.upstream_connections_max + CONTROL_CONNECTIONS_MAX
    upstream_client = CurlAsyncHTTPClient(force_instance=True, max_clients=connections_max)
    platform_client = CurlAsyncHTTPClient(force_instance=True, max_clients=PLATFORM_CONNECTIONS_MAX)
    list_hosts = (
        make_http_host_list(platform_client, platform.host_list_url)
        if platform.host_list_url
        else _fail_without_host_list
    )
    return Environment(
        log=make_http_log(platform_client, platform.log_url, platform.log_timeout_s),
        upstream=make_http_upstream(upstream_client, settings.peers.ask_timeout_s),
        list_hosts=list_hosts,
        peers=make_pynng_transport(settings.listen.peer_address),
        wall_clock=time.time,
        random=random.SystemRandom(),
        counters=counters,
        operator_address=operator_address,
    )


async def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop as planned.

    A signal that arrives before the daemon has started cancels the start.
    """
    process = DaemonProcess(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    start = loop.create_task(process.start())
    logging.info(
        "daemon %s: callers %s, operators %s, metrics %s, peers %s",
        settings.name,
        process.callers.address,
        process.operators.address,
        process.metrics.address,
        process.daemon.router.address,
    )
    await asyncio.wait({start, loop.create_task(stopped.wait())}, return_when="FIRST_COMPLETED")
    if start.done():
        start.result()
        await stopped.wait()
        await process.stop()
    else:
        start.cancel()


async def _fail_without_host_list() -> tuple[ListedHost, ...]:
    raise ConnectionError("platform.host_list_url is not set")


def _make_tls(settings: DaemonSettings) -> ssl.SSLContext | None:
    listen = settings.listen
    if not listen.tls_certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(listen.tls_certificate_file, listen.tls_key_file)
    except (OSError, ssl.SSLError) as error:
        message = f"TLS files cannot be loaded: {error}"
        raise FaultError(make_fault(ResultCode.BAD_SETTINGS, message)) from error
    return context


def _read_token(path: str) -> str:
    if not path:
        return ""
    token = _read_file(path, "listen.operator_token_file").strip()
    if not token:
        raise FaultError(
            make_fault(ResultCode.BAD_SETTINGS, f"listen.operator_token_file {path} is empty")
        )
    return token


def _read_file(path: str, key: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        message = f"{key} {path} cannot be read: {error.strerror}"
        raise FaultError(make_fault(ResultCode.BAD_SETTINGS, message)) from error


def observe_daemon(daemon: Daemon) -> None:
    """Register the gauges of a daemon, including its three measures of waves."""
    counters, measures = daemon.counters, daemon.measures
    counters.register_gauge("buffer_cost_slot_s", lambda: measures.buffer_slot_s)
    counters.register_gauge("rollout_time_s", lambda: measures.rollout_s)
    counters.register_gauge("moves", lambda: measures.moves)
    counters.register_gauge("log_lag_s", daemon.follower.get_lag_s)
    counters.register_gauge("next_offset", lambda: daemon.state.next_offset)
    counters.register_gauge("claims_held", daemon.claims.count_held)
    counters.register_gauge("requests_running", lambda: daemon.entry.running_count)
