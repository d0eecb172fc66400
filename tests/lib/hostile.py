"""Hostile input: JSON and MessagePack as other programs may write it, drawn or in full."""

import copy
import itertools
import json
from collections.abc import Iterator, Sequence
from typing import Any, Final

import msgspec
from hypothesis import strategies as st

# Levels of nesting; the decoder bears about 1,000.
DEPTH: Final = 5_000
# Digits of the longest numbers that are not rejected as such.
DIGITS: Final = 400
# JSON texts that stand for a value of any field.
FRAGMENTS: Final = (
    "[" * DEPTH + "]" * DEPTH,
    '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "[" * 900 + "]" * 900,
    "9" * DIGITS,
    "-" + "9" * DIGITS,
    "9" * 5_000,
    "1e400",
    "1e308",
    "-1e308",
    "NaN",
    "Infinity",
    "-0",
    "-0.0",
    "0",
    "-1",
    "0.5",
    str(2**63),
    str(2**64),
    str(-(2**63) - 1),
    "null",
    "true",
    '""',
    '"\\ud800"',
    '"\\u0000"',
    '"a\\r\\nX-B: c"',
    '"10.0.0.9:8080\\n"',
    '"999.999.1.1:80"',
    '"10.0.0.9:70000"',
    '"10.0.0.9:0"',
    '"\\u20ac"',
    '"9"',
    '"' + "x" * 60_000 + '"',
    "[]",
    "{}",
    "[[]]",
    "[null]",
    "[[null,null,null,null,null]]",
    '["a",[1],{}]',
)
# Bodies that replace a whole value.
BODIES: Final = (
    b"",
    b"{",
    b"null",
    b"[]",
    b"7",
    b'"text"',
    b"\xff\xfe\x00",
    b"\xed\xa0\x80",
    b"\x00" * 1_000,
    b"\xc1",
    b"\x91" * DEPTH,
    b"\x81\xa1a" * DEPTH,
    *(fragment.encode() for fragment in FRAGMENTS),
)
# Values of a field in MessagePack.
PACKED: Final[tuple[Any, ...]] = (
    None,
    True,
    -1,
    0,
    2**63,
    2**64 - 1,
    -(2**63),
    1e308,
    float("nan"),
    float("inf"),
    "",
    "a\r\nb",
    "\x00",
    "x" * 5_000,
    b"\xff",
    [],
    [[]],
    [None],
    {},
    {"a": 1},
)
Path = tuple[str | int, ...]


def list_paths(value: Any, at: Path = ()) -> Iterator[Path]:
    """List the paths of all fields and items within a value, and one of an unknown field."""
    if isinstance(value, dict):
        items: list[tuple[str | int, Any]] = [*value.items(), ("unknown_field", 1)]
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        return
    for key, inner in items:
        yield (*at, key)
        yield from list_paths(inner, (*at, key))


def replace_at(value: Any, path: Path, item: Any) -> Any:
    """Return a copy of a value with the item at a path replaced, unless the path is gone."""
    changed = copy.deepcopy(value)
    inner = changed
    for key in path[:-1]:
        try:
            inner = inner[key]
        except (KeyError, IndexError, TypeError):
            return changed
    if isinstance(inner, dict | list):
        inner[path[-1]] = item  # type: ignore[index]
    return changed


def render(sound: Any, changes: Sequence[tuple[Path, str]]) -> bytes:
    """Return a JSON text with the given fragments in place of fields of a sound value."""
    value = sound
    for number, (path, _) in enumerate(changes):
        value = replace_at(value, path, f"@@{number}@@")
    text = json.dumps(value)
    for number, (_, fragment) in enumerate(changes):
        text = text.replace(f'"@@{number}@@"', fragment)
    return text.encode()


def list_hostile(sound: Any) -> list[bytes]:
    """Return a JSON text for each field and each fragment, and all bodies."""
    pairs = itertools.product(list_paths(sound), FRAGMENTS)
    return [render(sound, [(path, fragment)]) for path, fragment in pairs] + list(BODIES)


def draw_hostile(sound: Any) -> st.SearchStrategy[bytes]:
    """Draw JSON texts in which several fields are replaced, or other bytes."""
    path = st.sampled_from(list(list_paths(sound)))
    changes = st.lists(st.tuples(path, st.sampled_from(FRAGMENTS)), min_size=1, max_size=3)
    changed = changes.map(lambda found: render(sound, found))
    doubled = changed.map(lambda text: text[:-1] + b"," + json.dumps(sound).encode()[1:])
    return changed | doubled | st.sampled_from(BODIES) | st.binary(max_size=40)


def list_packed(sound: Any) -> list[bytes]:
    """Return a MessagePack text for each item of ``sound`` (arrays) and each odd value."""
    plain = msgspec.to_builtins(sound)
    plain = json.loads(json.dumps(plain))
    changed = (
        msgspec.msgpack.encode(replace_at(plain, path, item))
        for path, item in itertools.product(list_paths(plain), PACKED)
    )
    return [*changed, *BODIES]
