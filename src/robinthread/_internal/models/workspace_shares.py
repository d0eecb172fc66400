"""Messages between nodes about shares of workspaces' limits."""

import msgspec


class ShareTable(msgspec.Struct, frozen=True, array_like=True):
    """Shares of their limits that workspaces may use in one pool.

    Workspaces not in ``shares`` have the share ``default``.  The shares were allocated with the
    limits of ``config_version``.
    """

    config_version: int
    default: float
    shares: dict[str, float] = {}

    def get(self, workspace: str) -> float:
        """Return a workspace's share of its limit, as a fraction."""
        return self.shares.get(workspace, self.default)


class ShareOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order of the steward that sets the shares in a pool; without ``table`` they stay the same.

    ``number`` increases with each order under the steward's ``token``.
    """

    token: int
    number: int
    table: ShareTable | None = None


class ShareState(msgspec.Struct, frozen=True, array_like=True):
    """The shares that a pool's owner applies, and the newest order that it has received."""

    token: int = 0
    number: int = 0
    table: ShareTable | None = None


class WorkspaceUsage(msgspec.Struct, frozen=True, array_like=True):
    """Resources that a workspace uses in a pool, and those that its waiting tasks need.

    ``held_back`` are the resources of the most urgent task that had to wait for a larger share.
    Each value is thousandths of a core, MB of memory and number of accelerators.
    """

    name: str
    used: tuple[int, int, int]
    waiting: tuple[int, int, int] = (0, 0, 0)
    held_back: tuple[int, int, int] = (0, 0, 0)
