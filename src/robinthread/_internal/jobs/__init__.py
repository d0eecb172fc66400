"""The job engine: jobs of steps of tasks, placed on a pool's hosts."""
