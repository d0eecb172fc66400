"""Days of a described deployment, played by the nodes' own code on virtual time."""
