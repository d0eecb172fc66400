"""Client of the platform's list of live and leaving hosts."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient

from robinthread._internal.utils.foreign_input import decode_json


@dataclass(frozen=True)
class ListedHost:
    """An entry of the platform's host list."""

    name: str
    hall: str
    rack: str
    address: str
    slots: int
    connections: int
    accelerators: int = 0
    is_leaving: bool = False


ListHostsFunction = Callable[[], Awaitable[tuple[ListedHost, ...]]]


def make_http_host_list(client: AsyncHTTPClient, base_url: str) -> ListHostsFunction:
    """Return a function that fetches the host list; see docs/interfaces/host_list.md."""

    async def list_hosts() -> tuple[ListedHost, ...]:
        response = await client.fetch(f"{base_url}/v1/hosts")
        return decode_json(response.body, tuple[ListedHost, ...])

    return list_hosts
