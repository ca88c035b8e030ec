"""The cost of decoding at engines, which only their pool's figures state."""

from crankchute.core.engine_model import estimate_slot_ms


class EngineCosts:
    """Looks up the figures of engines by the configuration in force."""

    __slots__ = ('_fleet', '_holder')

    def __init__(self, fleet, holder):
        """Create the look-up.

        Args:
          fleet: The ForwardFleet.
          holder: The ForwardConfigHolder.
        """
        self._fleet = fleet
        self._holder = holder

    def estimate_slot_ms(self, engine):
        """Return the decode time of a usual answer, divided by the slots.

        Args:
          engine: The engine's id.
        Returns:
          Milliseconds; 0 for a server that is not known yet or is no engine.
        """
        backend = self._fleet.get(engine)
        if backend is None or self._holder.config is None:
            return 0
        pool = self._holder.config.pools.get(self._fleet.pool_of(backend))
        if pool is None or pool.engine_figures is None:
            return 0
        return estimate_slot_ms(pool.engine_figures)
