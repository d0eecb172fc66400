"""Checks of fencing tokens, repeated records and offsets in the folder and the follower."""

from testtools import TestCase

from robinthread._internal.fold.folder import FolderImage
from robinthread._internal.fold.kinds.drain_permitted import DrainPermitted
from robinthread._internal.fold.kinds.drain_started import DrainStarted
from robinthread._internal.fold.kinds.host_failed import HostFailed
from robinthread._internal.fold.kinds.host_recovered import HostRecovered
from robinthread._internal.follow.follower import Follower
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.results import ResultCode
from robinthread._internal.standins.log_standin import LogStandin
from robinthread._internal.telemetry.counters import Counters
from tests.lib.virtual import run_virtual
from tests.unit.test_spec_replay import Fold, make_pool_of_three


def permit(fold: Fold, name: str) -> int:
    code = fold.fold(DrainPermitted(name, "w", fold.folder.state.hosts[name].token)).code
    assert code is ResultCode.OK, code
    return fold.folder.state.hosts[name].token


class FoldTest(TestCase):
    def test_host_failure_revokes_unstarted_permit(self) -> None:
        fold = make_pool_of_three()
        permit(fold, "h1")
        fold.fold(HostFailed("h2", fold.folder.state.hosts["h2"].token))
        self.assertIs(HostPhase.SERVING, fold.folder.state.hosts["h1"].phase)

    def test_drain_start_with_revoked_permit_is_stale(self) -> None:
        fold = make_pool_of_three()
        revoked_token = permit(fold, "h1")
        fold.fold(HostFailed("h2", fold.folder.state.hosts["h2"].token))
        fold.fold(HostRecovered("h2", fold.folder.state.hosts["h2"].token))
        permit(fold, "h1")
        self.assertIs(ResultCode.STALE_TOKEN, fold.fold(DrainStarted("h1", revoked_token)).code)

    def test_record_appended_twice_is_applied_once(self) -> None:
        fold = make_pool_of_three()
        body = DrainPermitted("h1", "w", fold.folder.state.hosts["h1"].token)
        first, second = fold.fold(body, record_id="same"), fold.fold(body, record_id="same")
        self.assertEqual((ResultCode.OK, ResultCode.REPEATED), (first.code, second.code))
        self.assertIs(ResultCode.OK, fold.folder.get_outcome("same"))


class FollowerTest(TestCase):
    def test_older_image_is_not_loaded(self) -> None:
        async def work() -> None:
            follower = Follower(LogStandin().make_service(), Counters(), 256)
            self.assertTrue(follower.load_image(FolderImage(FleetState(next_offset=9), ())))
            self.assertFalse(follower.load_image(FolderImage(FleetState(next_offset=8), ())))
            follower.is_ready = False
            self.assertFalse(follower.load_image(FolderImage(FleetState(next_offset=8), ())))
            self.assertEqual(9, follower.state.next_offset)

        run_virtual(work())
