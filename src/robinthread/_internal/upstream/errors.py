"""Errors of calls to workers."""


class UpstreamUnsentError(Exception):
    """The call was never sent, so it certainly had no effect."""


class UpstreamLostError(Exception):
    """The call may have been sent, but no complete reply came back: its effect is unknown."""
