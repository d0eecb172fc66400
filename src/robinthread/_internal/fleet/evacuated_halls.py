"""The planner's view of data halls that operators asked to evacuate."""

from dataclasses import replace

from robinthread._internal.fleet.fleet_view import FleetView, PoolView


def exclude_evacuated_halls(view: FleetView) -> FleetView:
    """Return a view in which hosts of evacuated halls leave their pools and no machine arrives.

    They count like machines that may not stay because of an order: towards no pool's size, and
    chosen again in each step, so that none of them leaves because of a withdrawn request.
    """
    if not view.evacuated_halls:
        return view
    evacuated = frozenset().union(*(list_evacuated(view, pool) for pool in view.pools))
    pools = tuple(
        replace(
            pool,
            arriving=tuple(
                machine for machine in pool.arriving if machine.hall not in view.evacuated_halls
            ),
        )
        for pool in view.pools
    )
    return replace(view, pools=pools, leaving=view.leaving | evacuated)


def list_evacuated(view: FleetView, pool: PoolView) -> frozenset[str]:
    """Return the machines of a pool that are in evacuated halls."""
    return frozenset(
        name for name, machine in pool.machines.items() if machine.hall in view.evacuated_halls
    )


def is_evacuated(view: FleetView, pool: PoolView, name: str) -> bool:
    """Tell whether a pool's machine with a name is in an evacuated hall."""
    machine = pool.machines.get(name)
    return machine is not None and machine.hall in view.evacuated_halls
