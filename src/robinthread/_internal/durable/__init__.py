"""What lasts in the platform's store: jobs, their progress, who owns a pool."""
