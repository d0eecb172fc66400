"""Decoding of bytes that other programs wrote: a value, or ``MalformedInputError``."""

import functools
import struct
import zlib
from collections.abc import Callable
from typing import Annotated, Any, Final, ParamSpec, TypeVar

import msgspec

# Characters of a foreign text that an error or a log line quotes.
QUOTED_MAX_CHARACTERS: Final = 200
# Largest integer that is exact as a floating-point number, as which arithmetic may use it.
NUMBER_MAX: Final = 2**53
# Bounds of sizes (thousandths of a core, MB, accelerators, counts): sums over 100,000 tasks of
# 10,000 jobs still fit in the 64 bits of a record's number.
SIZE_MAX: Final = 2**32
# 34 years; and Unix times up to the year 3084.
DURATION_MAX_MS: Final = 2**40
TIME_MAX_MS: Final = 2**45
DURATION_MAX_S: Final = DURATION_MAX_MS / 1000
PORT_MAX: Final = 65_535

_OCTET: Final = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT: Final = (
    r"(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
)
# An IPv4 address and a port: names would be resolved while the event loop waits.
ADDRESS_PATTERN: Final = rf"\A{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}\Z"

Number = Annotated[int, msgspec.Meta(ge=-NUMBER_MAX, le=NUMBER_MAX)]
Count = Annotated[int, msgspec.Meta(ge=0, le=NUMBER_MAX)]
Size = Annotated[int, msgspec.Meta(ge=0, le=SIZE_MAX)]
DurationMs = Annotated[int, msgspec.Meta(ge=-DURATION_MAX_MS, le=DURATION_MAX_MS)]
Ratio = Annotated[float, msgspec.Meta(ge=-SIZE_MAX, le=SIZE_MAX)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=SIZE_MAX)]
Seconds = Annotated[float, msgspec.Meta(ge=-DURATION_MAX_S, le=DURATION_MAX_S)]
Milliseconds = Annotated[float, msgspec.Meta(ge=-DURATION_MAX_MS, le=DURATION_MAX_MS)]
Address = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]

# What decoders, and code that reads what they return, raise for input of any kind.
_CAUSES: Final = (
    ValueError,
    RecursionError,
    ArithmeticError,
    TypeError,
    LookupError,
    AttributeError,
    struct.error,
    zlib.error,
)

P = ParamSpec("P")
T = TypeVar("T")


class MalformedInputError(msgspec.ValidationError):
    """Input of another program is not a value of the expected form and size.

    ``cause_name`` is the type of the error that showed this.
    """

    def __init__(self, message: str, cause_name: str = "MalformedInputError") -> None:
        super().__init__(message)
        self.cause_name = cause_name


def shorten(text: str) -> str:
    """Return a foreign text, cut to ``QUOTED_MAX_CHARACTERS``."""
    if len(text) <= QUOTED_MAX_CHARACTERS:
        return text
    return f"{text[:QUOTED_MAX_CHARACTERS]}... ({len(text)} characters)"


def quote_bytes(body: bytes) -> str:
    """Return the beginning of foreign bytes for an error."""
    return shorten(repr(body[:QUOTED_MAX_CHARACTERS]))


def decode_json(value: bytes | str | msgspec.Raw, type_: type[T]) -> T:
    """Decode JSON; raise ``MalformedInputError``."""
    try:
        return msgspec.json.decode(value, type=type_)
    except _CAUSES as error:
        raise _make_error(error) from error


def decode_msgpack(value: bytes, type_: type[T]) -> T:
    """Decode MessagePack; raise ``MalformedInputError``."""
    try:
        return msgspec.msgpack.decode(value, type=type_)
    except _CAUSES as error:
        raise _make_error(error) from error


def reads_foreign_input(parse: Callable[P, T]) -> Callable[P, T]:
    """Make a function that reads foreign input raise ``MalformedInputError`` and nothing else."""

    @functools.wraps(parse)
    def read(*args: P.args, **kwargs: P.kwargs) -> T:
        try:
            return parse(*args, **kwargs)
        except MalformedInputError:
            raise
        except _CAUSES as error:
            raise _make_error(error) from error

    return read


def get_cause_name(error: BaseException) -> str:
    """Return the type of the error that showed that input is malformed."""
    return error.cause_name if isinstance(error, MalformedInputError) else type(error).__name__


def _make_error(error: Exception) -> MalformedInputError:
    cause_name = type(error).__name__
    is_plain = isinstance(error, msgspec.MsgspecError)
    message = shorten(str(error))
    return MalformedInputError(message if is_plain else f"{cause_name}: {message}", cause_name)


def find_excess(numbers: dict[str, Any], bound: float) -> str:
    """Return the name of a number that is not finite or is beyond a bound, or ""."""
    return next((name for name, number in numbers.items() if not abs(number) <= bound), "")
