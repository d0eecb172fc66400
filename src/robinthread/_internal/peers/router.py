"""Requests, replies and one-way notices over a peer transport."""

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from robinthread._internal.peers.messages import AnyMessage, Frame
from robinthread._internal.peers.transport import PeerTransport, TransportClosedError
from robinthread._internal.telemetry.counters import Counters
from robinthread._internal.timeline.hybrid_clock import HybridClock

# Number of latest frames remembered to detect frames delivered twice.
SEEN_FRAMES_MAX: Final = 4096


class PeerTimeoutError(Exception):
    """The peer did not reply within the timeout, or stopped or was evicted."""


@dataclass(frozen=True)
class Sender:
    """Name and address of a message's sender, and the id of the frame."""

    name: str
    address: str
    frame_id: int


@dataclass(frozen=True)
class _PendingRequest:
    address: str
    future: asyncio.Future[AnyMessage]


Handler = Callable[[Sender, Any], Awaitable[AnyMessage | None]]


class PeerRouter:
    """Match replies to requests and pass messages to the handler of their type.

    A frame delivered twice is handled once.  Each handler call runs as its own task, so
    a slow handler does not delay other messages.
    """

    def __init__(
        self,
        name: str,
        transport: PeerTransport,
        clock: HybridClock,
        counters: Counters,
        first_frame_id: int,
    ) -> None:
        self.name = name
        self.address = transport.address
        self._transport = transport
        self._clock = clock
        self._counters = counters
        self._frame_ids = itertools.count(first_frame_id)
        self._handlers: dict[type, Handler] = {}
        self._notice_callbacks: dict[type, Callable[[Sender, Any], None]] = {}
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._on_late_reply: Callable[[str, AnyMessage], None] = lambda address, message: None
        self._on_frame: Callable[[str], None] = lambda name: None
        self._seen_frames: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Frame)

    def on(self, message_type: type, handler: Handler) -> None:
        """Register ``handler`` for messages of ``message_type``; it may return a reply."""
        self._handlers[message_type] = handler

    def on_notice(self, message_type: type, handle_notice: Callable[[Sender, Any], None]) -> None:
        """Call ``handle_notice`` directly, without a task, for notices of ``message_type``.

        Meant for frequent messages that are cheap to process, such as heartbeats.
        """
        self._notice_callbacks[message_type] = handle_notice

    def on_late_reply(self, callback: Callable[[str, AnyMessage], None]) -> None:
        """Call ``callback`` with the sender's address and the reply if its request has ended."""
        self._on_late_reply = callback

    def on_frame(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with the sender's name for each received frame."""
        self._on_frame = callback

    def fail_pending_requests(self, address: str) -> None:
        """Fail the pending requests to the peer at ``address``, which stopped or was evicted."""
        for pending in self._pending_requests.values():
            if pending.address == address and not pending.future.done():
                pending.future.set_exception(
                    PeerTimeoutError(f"peer {address} stopped or was evicted")
                )

    def send_notice(self, address: str, message: AnyMessage) -> None:
        """Send a message without waiting for a reply."""
        self._send(address, message, reply_to=0)

    async def send_request(
        self,
        address: str,
        message: AnyMessage,
        timeout_s: float,
        make_cancel: Callable[[int], AnyMessage] | None = None,
    ) -> AnyMessage:
        """Send a request and return its reply.

        Raise ``PeerTimeoutError`` after ``timeout_s``.  On a timeout or cancellation,
        the peer receives the message that ``make_cancel`` returns for the frame id of
        the request.
        """
        frame_id = next(self._frame_ids)
        if address == self.address:
            return await self._handle_own_request(frame_id, message, timeout_s)
        future: asyncio.Future[AnyMessage] = asyncio.get_running_loop().create_future()
        self._pending_requests[frame_id] = _PendingRequest(address, future)
        try:
            self._send(address, message, reply_to=0, frame_id=frame_id)
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError as error:
            self._counters.add("peer_timeouts")
            self._send_cancel(address, frame_id, make_cancel)
            raise PeerTimeoutError(f"no reply from peer {address} within {timeout_s} s") from error
        except asyncio.CancelledError:
            self._send_cancel(address, frame_id, make_cancel)
            raise
        finally:
            del self._pending_requests[frame_id]

    async def run(self) -> None:
        """Receive and dispatch frames until cancelled or the transport is closed."""
        while True:
            try:
                data = await self._transport.receive()
            except TransportClosedError:
                return
            self._counters.add("peer_bytes_received", len(data))
            try:
                frame = self._decoder.decode(data)
            except (msgspec.MsgspecError, RecursionError):
                self._counters.add("peer_frames_malformed")
                continue
            self._receive(frame)

    def close(self) -> None:
        """Cancel running handlers and close the transport."""
        for task in tuple(self._tasks):
            task.cancel()
        self._transport.close()

    def _receive(self, frame: Frame) -> None:
        self._clock.merge(frame.stamp)
        self._on_frame(frame.sender)
        if frame.reply_to:
            pending = self._pending_requests.get(frame.reply_to)
            if pending is None or pending.future.done():
                self._on_late_reply(frame.sender_address, frame.message)
            else:
                pending.future.set_result(frame.message)
            return
        if self._is_repeated(frame):
            self._counters.add("peer_frames_repeated")
            return
        handle_notice = self._notice_callbacks.get(type(frame.message))
        if handle_notice is not None:
            handle_notice(Sender(frame.sender, frame.sender_address, frame.id), frame.message)
            return
        task = asyncio.get_running_loop().create_task(self._handle(frame))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send_cancel(
        self, address: str, frame_id: int, make_cancel: Callable[[int], AnyMessage] | None
    ) -> None:
        if make_cancel is not None:
            self.send_notice(address, make_cancel(frame_id))

    async def _handle(self, frame: Frame) -> None:
        handler = self._handlers.get(type(frame.message))
        if handler is None:
            return
        sender = Sender(frame.sender, frame.sender_address, frame.id)
        reply = await handler(sender, frame.message)
        if reply is not None:
            self._send(frame.sender_address, reply, reply_to=frame.id)

    async def _handle_own_request(
        self, frame_id: int, message: AnyMessage, timeout_s: float
    ) -> AnyMessage:
        handler = self._handlers[type(message)]
        sender = Sender(self.name, self.address, frame_id)
        try:
            reply = await asyncio.wait_for(handler(sender, message), timeout_s)
        except TimeoutError as error:
            raise PeerTimeoutError(
                f"this daemon did not handle its own {type(message).__name__} within {timeout_s} s"
            ) from error
        assert reply is not None
        return reply

    def _send(self, address: str, message: AnyMessage, reply_to: int, frame_id: int = 0) -> None:
        frame = Frame(
            self.name,
            self.address if frame_id or reply_to else "",
            frame_id or next(self._frame_ids),
            reply_to,
            self._clock.tick(),
            message,
        )
        if address == self.address:
            self._receive(frame)
            return
        data = self._encoder.encode(frame)
        self._counters.add("peer_bytes_sent", len(data))
        self._transport.send(address, data)

    def _is_repeated(self, frame: Frame) -> bool:
        key = (frame.sender, frame.id)
        if key in self._seen_frames:
            return True
        self._seen_frames[key] = None
        if len(self._seen_frames) > SEEN_FRAMES_MAX:
            self._seen_frames.popitem(last=False)
        return False
