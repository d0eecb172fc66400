"""Calls with and without a workspace's key, from the configuration to the job service."""

import asyncio
import json
from typing import Any

from testtools import TestCase

from tests.lib.caller_calls import JOB_ID, CallersSite, serve_callers

SHEETS, CARDS = "/sheets/", "/cards/"
CALLS = (
    ("POST", SHEETS + JOB_ID),
    ("GET", SHEETS + JOB_ID),
    ("DELETE", SHEETS + JOB_ID),
    ("GET", SHEETS),
)


def make_config(version: int, keys: dict[str, list[str]], **queue: Any) -> dict[str, Any]:
    """Make a configuration with a queue that requires keys unless ``queue`` overrides it."""
    return {
        "version": version,
        "routes": [
            {"name": "sheets", "host": "press.example", "path_prefix": SHEETS, "service": "press"}
            | ({"public": False} | queue),
            {
                "name": "cards",
                "host": "press.example",
                "path_prefix": CARDS,
                "service": "press",
                "public": True,
            },
        ],
        "services": [{"name": "press"}],
        "tenants": [
            {"name": name, "api_keys": found, "weight": 4, "maximum": {"cpu": 8000}}
            for name, found in keys.items()
        ],
    }


async def get_statuses(site: CallersSite, key: str | None) -> list[int]:
    """Return the HTTP status of each kind of call."""
    return [(await site.call(method, path, key)).code for method, path in CALLS]


class WorkspaceKeysTest(TestCase):
    def run_on(self, work: Any) -> None:
        async def play() -> None:
            async with serve_callers() as site:
                await work(site)

        asyncio.run(play())

    def test_calls_without_a_known_key_are_rejected(self) -> None:
        async def work(site: CallersSite) -> None:
            site.configure(**make_config(1, {"maps": ["right-key"]}))
            for key in (None, "", "wrong", "right-ke", "right-key2", "right-key,right-key"):
                self.assertEqual([401] * 4, await get_statuses(site, key), str(key))
            answer = await site.call(*CALLS[0], "wrong")
            self.assertEqual(317, json.loads(answer.body)["code"])
            self.assertEqual([], site.job_service.accepted + site.job_service.asked_by)

        self.run_on(work)

    def test_key_authorizes_all_kinds_of_calls_for_its_workspace(self) -> None:
        async def work(site: CallersSite) -> None:
            site.configure(**make_config(1, {"maps": ["a", "b"], "shop": ["c"]}))
            for key in ("a", "b"):
                self.assertEqual([200] * 4, await get_statuses(site, key))
            self.assertEqual(200, (await site.call(*CALLS[1], authorization="bearer  c")).code)
            self.assertEqual({"maps"}, {spec.workspace for spec in site.job_service.accepted})
            self.assertEqual(["maps"] * 4 + ["shop"], site.job_service.asked_by)
            for other in ("a", "Basic a", "Bearer", "Bearera"):
                self.assertEqual(401, (await site.call(*CALLS[1], authorization=other)).code)

        self.run_on(work)

    def test_revoked_key_is_rejected_and_other_keys_of_its_workspace_work(self) -> None:
        async def work(site: CallersSite) -> None:
            site.configure(**make_config(1, {"maps": ["a", "b"]}))
            site.configure(**make_config(3, {"maps": ["b"]}))
            self.assertEqual([401] * 4, await get_statuses(site, "a"))
            self.assertEqual([200] * 4, await get_statuses(site, "b"))
            # An older version that arrives late must not restore a revoked key.
            site.configure(**make_config(2, {"maps": ["a", "b"]}))
            self.assertEqual([401] * 4, await get_statuses(site, "a"))
            site.configure(**make_config(4, {"maps": []}))
            self.assertEqual([401] * 4, await get_statuses(site, "b"))
            site.configure(**make_config(5, {}))
            self.assertEqual([401] * 4, await get_statuses(site, "b"))
            site.configure(**make_config(6, {"new": ["b"]}))
            self.assertEqual([200] * 4, await get_statuses(site, "b"))

        self.run_on(work)

    def test_queue_requires_keys_only_while_it_is_not_public(self) -> None:
        async def work(site: CallersSite) -> None:
            self.assertEqual([503] * 4, await get_statuses(site, "a"))
            site.configure(**make_config(1, {"maps": ["a"]}, public=True))
            for key in (None, "wrong", "a"):
                self.assertEqual([200] * 4, await get_statuses(site, key))
            self.assertEqual({""}, {spec.workspace for spec in site.job_service.accepted})
            site.configure(**make_config(2, {"maps": ["a"]}, public=False))
            self.assertEqual([401] * 4, await get_statuses(site, None))
            self.assertEqual(200, (await site.call("GET", CARDS + JOB_ID)).code)
            self.assertEqual(404, (await site.call("GET", "/none/")).code)

        self.run_on(work)

    def test_queues_require_no_key_if_there_are_no_workspaces(self) -> None:
        async def work(site: CallersSite) -> None:
            config = make_config(1, {})
            for route in config["routes"]:
                del route["public"]
            del config["tenants"]
            site.configure(**config)
            self.assertEqual([200] * 4, await get_statuses(site, None))

        self.run_on(work)

    def test_keys_appear_in_no_log_line_and_no_response(self) -> None:
        async def work(site: CallersSite) -> None:
            secrets = ["first-secret", "second-secret", "unknown-secret"]
            site.configure(**make_config(1, {"maps": secrets[:1]}))
            site.configure(**make_config(2, {"maps": secrets[1:2]}))
            answers = [
                (await site.call(method, path, key)).body
                for key in secrets
                for method, path in CALLS
            ]
            site.events.flush_gathered(is_last=True)
            told = b"".join([*site.lines, *answers])
            self.assertIn(b"workspace_keys_changed", told)
            self.assertIn(b'"maps"', told)
            for secret in secrets:
                self.assertNotIn(secret.encode(), told)

        self.run_on(work)
