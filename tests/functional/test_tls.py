"""Operator calls over TLS: trust in the authority, and refusal of invalid certificate files."""

import asyncio
import tempfile
from pathlib import Path

import trustme
from testtools import TestCase

from robinthread._internal.commands.client import Target, call_async
from robinthread._internal.daemon.process import DaemonProcess, Listener
from robinthread._internal.results import FaultError, ResultCode
from robinthread._internal.settings.daemon_settings import DaemonSettings, ListenSettings
from robinthread._internal.settings.platform_settings import PlatformSettings
from robinthread._internal.standins.host_list_standin import HostListStandin
from robinthread._internal.standins.http_servers import make_platform_application
from robinthread._internal.standins.log_standin import LogStandin
from robinthread._internal.telemetry.counters import Counters

LOOPBACK = "127.0.0.1:0"


class TlsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1")
        authority.cert_pem.write_to_path(self.folder / "ca.pem")
        certificate.private_key_pem.write_to_path(self.folder / "key.pem")
        certificate.cert_chain_pems[0].write_to_path(self.folder / "cert.pem")

    def test_only_callers_that_trust_the_authority_are_served(self) -> None:
        async def work() -> None:
            platform = Listener(LOOPBACK)
            platform.serve(make_platform_application(LogStandin(), HostListStandin()), 1_000_000)
            process = DaemonProcess(self._make_settings(platform.address), Counters())
            await process.start()
            address = process.operators.address
            status = await call_async(
                Target(address, ca_file=str(self.folder / "ca.pem")), "GetStatus", {}
            )
            self.assertTrue(status.is_ready)
            with self.assertRaises(FaultError) as caught:
                await call_async(Target(address), "GetStatus", {})
            self.assertEqual(ResultCode.UNREACHABLE, self._get_code(caught.exception))
            process.daemon.close()

        asyncio.run(work())

    def test_invalid_certificate_file_is_refused(self) -> None:
        (self.folder / "cert.pem").write_text("nothing")
        with self.assertRaises(FaultError) as caught:
            DaemonProcess(self._make_settings("127.0.0.1:1"), Counters())
        self.assertEqual(ResultCode.BAD_SETTINGS, self._get_code(caught.exception))

    def _get_code(self, error: FaultError | None) -> ResultCode | None:
        return None if error is None else error.fault.code

    def _make_settings(self, platform: str) -> DaemonSettings:
        listen = ListenSettings(
            LOOPBACK,
            LOOPBACK,
            LOOPBACK,
            f"tcp://{LOOPBACK}",
            tls_certificate_file=str(self.folder / "cert.pem"),
            tls_key_file=str(self.folder / "key.pem"),
        )
        return DaemonSettings(
            name="entry-1",
            hall="kandy",
            listen=listen,
            platform=PlatformSettings(log_url=f"http://{platform}"),
        )
