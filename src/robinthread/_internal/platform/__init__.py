"""Adapters to the company platform's services.

The platform's names are used only in this package.
"""
