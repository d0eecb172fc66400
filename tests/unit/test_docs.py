"""Checks of the documentation and the operator schema against the code."""

from pathlib import Path

from testtools import TestCase
from tools.write_result_codes import make_page

from robinthread._internal.operators.schema import check_schema, read_schema
from robinthread._internal.results import MEANINGS, FaultError, ResultCode


class DocsTest(TestCase):
    def test_result_codes_page_matches_the_codes(self) -> None:
        self.assertEqual(make_page(), Path("docs/RESULT_CODES.md").read_text(encoding="utf-8"))

    def test_every_code_has_a_meaning(self) -> None:
        self.assertEqual(set(ResultCode), set(MEANINGS))

    def test_links_between_pages_resolve(self) -> None:
        import re

        for page in [Path("README.md"), *Path("docs").rglob("*.md")]:
            for target in re.findall(r"\]\((?!http)([^)#]+)", page.read_text(encoding="utf-8")):
                self.assertTrue((page.parent / target).exists(), f"{page}: {target}")


class SchemaTest(TestCase):
    def test_own_schema_and_an_older_one_are_compatible(self) -> None:
        schema = read_schema()
        check_schema(schema, "ours")
        check_schema(schema.replace("  repeated string cut_halls = 11;\n", ""), "older")

    def test_renumbered_field_and_unknown_method_are_refused(self) -> None:
        schema = read_schema()
        for changed in (
            schema.replace("int32 max_slots = 3;", "int32 max_slots = 9;", 1),
            schema.replace("rpc GetStatus(", "rpc GetWeather("),
            "syntax = 'proto3';",
        ):
            error = self.assertRaises(FaultError, check_schema, changed, "theirs")
            self.assertEqual(ResultCode.SCHEMA_MISMATCH, error.fault.code)
