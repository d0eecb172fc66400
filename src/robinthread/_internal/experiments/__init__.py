"""Simulations of a deployment: the production code of the nodes runs on virtual time."""
