"""The job engine: places the tasks of a job's steps on the hosts of a pool."""
