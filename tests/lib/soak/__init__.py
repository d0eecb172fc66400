"""Real nodes as processes on loopback, with faults from outside, and what must hold of them."""
