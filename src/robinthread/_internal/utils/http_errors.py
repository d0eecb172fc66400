"""Classification of an HTTP client's errors."""

import pycurl
from tornado.curl_httpclient import CurlError

_UNSENT_ERRNOS = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST, pycurl.E_URL_MALFORMAT}
)


def was_never_sent(error: BaseException) -> bool:
    """Return whether the error proves that no byte of the request was sent."""
    return isinstance(error, CurlError) and error.errno in _UNSENT_ERRNOS
