"""HTTP handling of operator calls."""

import hmac
from typing import Any

from absl import logging
from google.protobuf import json_format
from google.protobuf.message import DecodeError
from tornado.web import RequestHandler

from robinthread._internal.daemon.daemon import Daemon
from robinthread._internal.operators import robinthread_pb2 as pb
from robinthread._internal.operators.calls import CALLS, make_outcome
from robinthread._internal.platform_log.errors import LogReplyLostError, LogUnavailableError
from robinthread._internal.results import Fault, FaultError, ResultCode, make_fault
from robinthread._internal.utils.foreign_input import shorten

JSON_TYPE = "application/json"
BINARY_TYPE = "application/x-protobuf"
READ_ONLY_METHODS = frozenset({"GetStatus", "GetTimeline", "GetConfigHistory", "PlanWave"})
HTTP_UNAUTHORIZED = 401
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_INTERNAL = 500
HTTP_UNAVAILABLE = 503


class OperatorCall:
    """One call: checks the token, decodes the request, makes the call and encodes the reply."""

    def __init__(self, handler: RequestHandler, daemon: Daemon, token: str) -> None:
        self._handler = handler
        self._daemon = daemon
        self._token = token

    async def handle(self, method: str) -> None:
        """Make the call and write its reply, or a fault, as the HTTP response."""
        try:
            reply = await self._call(method)
        except FaultError as error:
            self._write_fault(error.fault)
            return
        except (LogUnavailableError, LogReplyLostError):
            self._write_fault(make_fault(ResultCode.PLATFORM_OUT))
            return
        self._write_message(reply)

    async def _call(self, method: str) -> Any:
        self._check_token()
        call = CALLS.get(method)
        if call is None:
            raise FaultError(make_fault(ResultCode.UNKNOWN_METHOD, f"Method {method!r}"))
        request = self._decode(method)
        if not self._daemon.follower.is_ready:
            raise FaultError(make_fault(ResultCode.NOT_READY))
        if self._daemon.is_halted and method not in READ_ONLY_METHODS:
            raise FaultError(make_fault(ResultCode.DIGEST_DIFFERS))
        try:
            return await call(self._daemon, request)
        except (FaultError, LogUnavailableError, LogReplyLostError):
            raise
        except Exception as error:
            logging.exception("operator call %s failed", method)
            raise FaultError(make_fault(ResultCode.INTERNAL, method)) from error

    def _check_token(self) -> None:
        presented = self._handler.request.headers.get("Authorization", "")
        if not self._token or hmac.compare_digest(
            presented.encode(), f"Bearer {self._token}".encode()
        ):
            return
        self._daemon.counters.add("operator_calls_unauthorized")
        raise FaultError(make_fault(ResultCode.UNAUTHORIZED))

    def _decode(self, method: str) -> Any:
        descriptor = pb.DESCRIPTOR.services_by_name["Operators"].methods_by_name[method]
        message = getattr(pb, descriptor.input_type.name)()
        try:
            if self._is_binary():
                message.ParseFromString(self._handler.request.body)
            else:
                json_format.Parse(self._handler.request.body or b"{}", message)
        except (DecodeError, json_format.ParseError, ValueError, RecursionError) as error:
            raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, shorten(str(error)))) from error
        return message

    def _is_binary(self) -> bool:
        return self._handler.request.headers.get("Content-Type", "").startswith(BINARY_TYPE)

    def _write_message(self, message: Any) -> None:
        if self._is_binary():
            self._handler.set_header("Content-Type", BINARY_TYPE)
            self._handler.finish(message.SerializeToString())
            return
        self._handler.set_header("Content-Type", JSON_TYPE)
        self._handler.finish(
            json_format.MessageToJson(
                message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
            )
        )

    def _write_fault(self, fault: Fault) -> None:
        statuses = {
            ResultCode.UNAUTHORIZED: HTTP_UNAUTHORIZED,
            ResultCode.UNKNOWN_METHOD: HTTP_NOT_FOUND,
            ResultCode.NOT_READY: HTTP_UNAVAILABLE,
            ResultCode.PLATFORM_OUT: HTTP_UNAVAILABLE,
            ResultCode.INTERNAL: HTTP_INTERNAL,
        }
        self._handler.set_status(statuses.get(fault.code, HTTP_BAD_REQUEST))
        self._write_message(make_outcome(fault.code, fault.message))
