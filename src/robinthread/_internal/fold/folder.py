"""The folder: the fleet state and what is needed to fold the next record."""

import hashlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Success

from robinthread._internal.fold.envelope import SCHEMA_VERSION, Envelope, decode_batch
from robinthread._internal.fold.position import Position
from robinthread._internal.fold.registry import KINDS
from robinthread._internal.fold.step import FoldResult
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.results import ResultCode

SEEN_IDS_MAX = 8192


@dataclass(frozen=True)
class FoldedRecord:
    """What became of a record, for its author and for watchers of the state."""

    offset: int
    id: str
    kind: str
    code: ResultCode
    body: object = None


@dataclass(frozen=True)
class FolderImage:
    """The folder's whole content, as snapshots and peers carry it."""

    state: FleetState
    seen: tuple[tuple[str, int], ...]


class Folder:
    """Fold log records, in offset order, into the fleet state.

    The outcome depends on the records alone: no clock, no random number, no
    local setting.  Ids of the last ``SEEN_IDS_MAX`` records are kept, so that
    a record appended twice is folded once and its second author learns the
    first outcome.
    """

    def __init__(self, image: FolderImage | None = None) -> None:
        self.state = image.state if image else FleetState()
        self._seen: dict[str, int] = dict(image.seen) if image else {}

    def fold_record(self, offset: int, data: bytes) -> tuple[FoldedRecord, ...]:
        """Fold the log record at ``offset`` and return what became of each part."""
        if offset < self.state.next_offset:
            return ()
        folded = tuple(self._iter_folded(offset, data))
        self.state = replace(self.state, next_offset=offset + 1)
        return folded

    def get_outcome(self, record_id: str) -> ResultCode | None:
        """Return the outcome of a record among the last ones, or None."""
        code = self._seen.get(record_id)
        return None if code is None else ResultCode(code)

    def make_image(self) -> FolderImage:
        """Return the whole content for a snapshot."""
        return FolderImage(self.state, tuple(self._seen.items()))

    def _iter_folded(self, offset: int, data: bytes) -> Iterator[FoldedRecord]:
        try:
            batch = decode_batch(data)
        except msgspec.DecodeError:
            yield FoldedRecord(offset, "", "", ResultCode.UNKNOWN_KIND)
            return
        for envelope in batch:
            yield self._fold_envelope(offset, envelope)

    def _fold_envelope(self, offset: int, envelope: Envelope) -> FoldedRecord:
        if envelope.id in self._seen:
            return FoldedRecord(offset, envelope.id, envelope.kind, ResultCode.REPEATED)
        body, result = _apply(self.state, offset, envelope)
        if isinstance(result, Success):
            self.state = result.unwrap()
            code = ResultCode.OK
        else:
            code = result.failure()
        self._record_outcome(envelope.id, code)
        return FoldedRecord(offset, envelope.id, envelope.kind, code, body)

    def _record_outcome(self, record_id: str, code: ResultCode) -> None:
        self._seen[record_id] = code.value
        excess_count = len(self._seen) - SEEN_IDS_MAX
        for oldest_id in tuple(itertools.islice(self._seen, max(0, excess_count))):
            del self._seen[oldest_id]


def _apply(state: FleetState, offset: int, envelope: Envelope) -> tuple[object, FoldResult]:
    kind = KINDS.get(envelope.kind)
    if kind is None or envelope.version > SCHEMA_VERSION:
        return None, Failure(ResultCode.UNKNOWN_KIND)
    try:
        body: object = msgspec.msgpack.decode(envelope.body, type=kind.body_type)
    except msgspec.MsgspecError:
        return None, Failure(ResultCode.UNKNOWN_KIND)
    position = Position(offset, envelope.author, envelope.incarnation)
    return body, kind.fold(state, body, position)


def make_digest(image: FolderImage) -> str:
    """Return a digest of the folder's content, the same for equal states."""
    encoded = msgspec.msgpack.encode(image, order="deterministic")
    return hashlib.sha256(encoded).hexdigest()[:16]
