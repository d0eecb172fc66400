"""Errors of the platform's log."""


class LogUnavailableError(Exception):
    """The log refused the call or could not be reached; the call had no effect."""


class LogReplyLostError(Exception):
    """The call got no reply; it may or may not have had its effect."""
