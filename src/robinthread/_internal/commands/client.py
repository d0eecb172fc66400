"""Client of the operator calls."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from google.protobuf import json_format
from google.protobuf.message import DecodeError
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from robinthread._internal.operators import robinthread_pb2 as pb
from robinthread._internal.results import Fault, FaultError, ResultCode, make_fault

CONTENT_TYPE: Final = "application/x-protobuf"
SERVICE: Final = "robinthread.v1.Operators"
TIMEOUT_S: Final = 15.0
HTTP_OK: Final = 200


@dataclass(frozen=True)
class Target:
    """Address and credentials for a daemon's operator listener.

    TLS is used if ``ca_file`` is set.
    """

    address: str
    token_file: str = ""
    ca_file: str = ""


def call(target: Target, method: str, fields: dict[str, Any]) -> Any:
    """Make one call and return its reply; raise ``FaultError`` if it fails."""
    return asyncio.run(call_async(target, method, fields))


async def call_async(target: Target, method: str, fields: dict[str, Any]) -> Any:
    """Make one call on the running event loop; raise ``FaultError`` if it fails."""
    descriptor = pb.DESCRIPTOR.services_by_name["Operators"].methods_by_name[method]
    request = json_format.ParseDict(fields, getattr(pb, descriptor.input_type.name)())
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        response = await _post(client, target, method, request.SerializeToString())
    finally:
        client.close()
    if response.code != HTTP_OK:
        raise FaultError(_read_fault(response.body, response.code))
    reply = getattr(pb, descriptor.output_type.name)()
    reply.ParseFromString(response.body)
    return reply


async def _post(client: AsyncHTTPClient, target: Target, method: str, body: bytes) -> Any:
    scheme = "https" if target.ca_file else "http"
    headers = {"Content-Type": CONTENT_TYPE}
    if target.token_file:
        headers["Authorization"] = f"Bearer {_read_token(target.token_file)}"
    request = HTTPRequest(
        f"{scheme}://{target.address}/{SERVICE}/{method}",
        method="POST",
        body=body,
        headers=headers,
        request_timeout=TIMEOUT_S,
        ca_certs=target.ca_file or None,
    )
    try:
        return await client.fetch(request, raise_error=False)
    except (OSError, ValueError) as error:
        error_text = f"No response from a daemon at {target.address}: {error}"
        raise FaultError(make_fault(ResultCode.UNREACHABLE, error_text)) from error


def _read_fault(body: bytes, status: int) -> Fault:
    outcome = pb.Outcome()
    try:
        outcome.ParseFromString(body)
        return Fault(ResultCode(outcome.code), outcome.message)
    except (DecodeError, ValueError):
        return make_fault(ResultCode.UNREACHABLE, f"The daemon responded with HTTP status {status}")


def _read_token(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except ValueError as error:
        error_text = f"--token_file {path} cannot be read: it is not text"
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, error_text)) from error
    except OSError as error:
        error_text = f"--token_file {path} cannot be read: {error.strerror}"
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, error_text)) from error
