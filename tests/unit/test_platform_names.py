"""The platform's names are used only in the platform package."""

import re
from pathlib import Path

from testtools import TestCase

SOURCES = Path("src/robinthread")
PLATFORM = SOURCES / "_internal" / "platform"
NAMES = re.compile(
    r"run-start|run-stop|/hold\b|/pace\b|/advise\b|log-append|log-read|log-newest|log-join"
    r"|log-leave|log-commit|log-owners|log-trim|machine-upkeep|machine-move|page_token"
    r"|X-Target-Instance|X-Lease-Holder|X-Fencing-Token|X-Deadline-Ms|X-Instance-Id"
    r"|keyed\.op\b|keyed\.servers|keyed\.status|\btls_key\b|store_revision|fencing_token"
    r"|admission_check|long_running|anti_affinity|may_miss|depends_on|cold_remaining_ms"
    r"|checkpointing\b|max_hold_ms|notice_ms\b\"|ROBINTHREAD_NODE_FILE"
)


class PlatformNamesTest(TestCase):
    def test_wire_names_are_used_only_in_the_platform_package(self) -> None:
        found = [
            f"{path}:{number}: {line.strip()}"
            for path in SOURCES.rglob("*.py")
            if PLATFORM not in path.parents
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
            if NAMES.search(line)
        ]
        self.assertEqual([], found)

    def test_platform_package_uses_wire_names(self) -> None:
        text = "".join(path.read_text(encoding="utf-8") for path in PLATFORM.glob("*.py"))
        self.assertTrue(len(set(NAMES.findall(text))) > 20)
