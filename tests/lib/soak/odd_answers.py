"""Answers that a host, the machines or the advice service could give, and that nobody can use."""

from collections.abc import Callable
from typing import Final

from tests.lib.soak.odd_entries import DEPTH, NESTED, NUMBER

LARGE_BYTES: Final = 400_000


def _extend(text: str) -> Callable[[bytes], bytes]:
    """Return a function that adds the fields in ``text`` to an answer."""
    return lambda plain: b"{" + text.encode() + (b"," if plain != b"{}" else b"") + plain[1:]


def _replace(value: bytes) -> Callable[[bytes], bytes]:
    return lambda plain: value


ODD_ANSWERS: Final[dict[str, Callable[[bytes], bytes]]] = {
    "nested unknown field": _extend(f'"extra": {NESTED}'),
    "nested answer": _replace(b"[" * DEPTH),
    "numbers of 400 digits": _replace(
        f'{{"clock_ms": {NUMBER}, "valid_ms": {NUMBER}, "born": {NUMBER}}}'.encode()
    ),
    "exponent of 400": _replace(b'{"clock_ms": 1e400, "valid_ms": 1e400}'),
    "rows of another kind": _replace(
        b'{"clock_ms": 1, "running": [[1], []], "finished": [[{}]], "machines": [[]], "good": [0]}'
    ),
    "rows of long numbers": _replace(
        f'{{"clock_ms": 1, "finished": [[{NUMBER}, "x", {NUMBER}, "done", ""]], '
        f'"running": [["0.0.0", {NUMBER}, "", {NUMBER}, 1e300]], '
        f'"machines": [{{"machine": "m", "pool": "p", "state": "up", "zone": "z", '
        f'"labels": [], "capacity": {{"cpu": {NUMBER}}}, "id": null}}]}}'.encode()
    ),
    "not JSON": _replace(b"<html>"),
    "not UTF-8": _replace(b'{"reason": "\xff"}'),
    "null": _replace(b"null"),
    "empty": _replace(b""),
    "large": _extend('"extra": "' + "x" * LARGE_BYTES + '"'),
}

# Bodies of callers that are refused as bad requests, whatever the node does otherwise.
ODD_BODIES: Final[dict[str, str]] = {
    "nested unknown field": f'{{"spec": "t", "steps": [{{"count": 1}}], "extra": {NESTED}}}',
    "nested steps": f'{{"spec": "t", "steps": {NESTED}}}',
    "room of 400 digits": f'{{"spec": "t", "steps": [{{"count": 1, "cpu": {NUMBER}}}]}}',
    "estimate of 400 digits": f'{{"spec": "t", "steps": [{{"estimate_ms": {NUMBER}}}]}}',
    "count of 400 digits": f'{{"spec": "t", "steps": [{{"count": {NUMBER}}}]}}',
    "step of 400 digits": f'{{"spec": "t", "steps": [{{"depends_on": [{NUMBER}]}}]}}',
    "target of 400 digits": f'{{"spec": "t", "steps": [{{"target_ms": {NUMBER}}}]}}',
    "start of 400 digits": f'{{"spec": "t", "steps": [{{}}], "start_at_ms": {NUMBER}}}',
    "interval of 400 digits": f'{{"spec": "t", "steps": [{{}}], "max_runs": 2, '
    f'"interval_ms": {NUMBER}}}',
    "not JSON": "{",
    "null": "null",
}
