"""Entries of the hosts' list that another writer could write, and that describe no usable host."""

import json
from collections.abc import Callable
from typing import Any, Final

from tests.lib.soak.world import POOL

# Levels at which a recursive decoder ends by an error of its own, not by one of the input.
DEPTH: Final = 5_000
DIGITS: Final = 400
# Size of a record that the store still takes, less its key.
RECORD_BYTES: Final = 60_000

# Nothing listens on this port of the loopback interface.
PLAIN_ENTRY: Final[dict[str, Any]] = {
    "service": POOL,
    "address": "127.0.0.1:1",
    "zone": "hall",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "machine": "",
    "capacity": {"cpu": 16_000, "mem_mb": 32_000, "gpu": 0},
    "labels": ["large", "r0"],
    "remaining_ms": 0,
}
NESTED: Final = "[" * DEPTH + "]" * DEPTH
NUMBER: Final = "9" * DIGITS

# Fields that replace or extend those of ``PLAIN_ENTRY``, as JSON text.
ODD_FIELDS: Final[dict[str, dict[str, str]]] = {
    "nested unknown field": {"extra": NESTED},
    "nested objects": {"extra": '{"a":' * DEPTH + "0" + "}" * DEPTH},
    "nested labels": {"labels": NESTED},
    "number of 400 digits": {"cold_remaining_ms": NUMBER},
    "draining, number of 400 digits": {"state": '"draining"', "remaining_ms": NUMBER},
    "exponent of 400": {"cold_remaining_ms": "1e400"},
    "negative number": {"cold_remaining_ms": "-1e300"},
    "room of 400 digits": {"capacity": f'{{"cpu": {NUMBER}, "mem_mb": {NUMBER}}}'},
    "start time of 400 digits": {"born": NUMBER},
    "sequence of 400 digits": {"sequence": NUMBER},
    "port 70000": {"address": '"127.0.0.1:70000"'},
    "port 0": {"address": '"127.0.0.1:0"'},
    "address with a newline": {"address": '"127.0.0.1:1\\n"'},
    "address with a header": {"address": '"a\\r\\nX-A:1"'},
    "address out of range": {"address": '"999.999.1.1:80"'},
    "machine of another kind": {"machine": "[]"},
    "large unknown field": {"extra": json.dumps("x" * (RECORD_BYTES - 1_000))},
    "large labels": {"labels": json.dumps(["y" * 10] * 4_000)},
    "surrogate": {"zone": '"\\ud800"'},
}
ODD_VALUES: Final[dict[str, bytes]] = {
    "not JSON": b"{",
    "not UTF-8": b'{"service": "\xff\xfe"}',
    "null": b"null",
    "list": b"[]",
    "nested to the limit of a record": b"[" * RECORD_BYTES,
    "zero bytes": bytes(64),
}
ODD_KEYS: Final = ("\n", "\x00", "../i-1", "é" * 100, "x" * 255, " ", "config", "i-1 ")
# Forms that may be taken for a host, at which nothing listens.
HOST_LIKE_FORMS: Final = (
    "negative number",
    "address out of range",
    "large unknown field",
    "large labels",
)
# Forms that ended the node's reading of the list, and one that was taken for a host.
FORMS_OF_FAILURE: Final = ("nested unknown field", "number of 400 digits", "port 70000")


def encode_entry(fields: dict[str, str]) -> bytes:
    """Return an entry in which ``fields``, given as JSON text, replace those of a plain one."""
    plain = {name: json.dumps(value) for name, value in PLAIN_ENTRY.items()}
    pairs = (f"{json.dumps(name)}: {text}" for name, text in (plain | fields).items())
    return ("{" + ", ".join(pairs) + "}").encode()


def make_odd_entries() -> dict[str, bytes]:
    """Return the value of an entry for each odd form, by the form's name."""
    return {name: encode_entry(fields) for name, fields in ODD_FIELDS.items()} | ODD_VALUES


def put_entries(put_entry: Callable[[str, bytes], None], forms: tuple[str, ...]) -> None:
    """Write one entry for each of the forms."""
    values = make_odd_entries()
    for number, form in enumerate(forms):
        put_entry(f"odd-{number}", values[form])
