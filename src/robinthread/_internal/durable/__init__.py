"""Records in the platform's store: jobs, their progress, and the ownership of pools."""
