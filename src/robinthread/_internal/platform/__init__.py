"""Translation between the product and the company platform.

Nothing outside this package knows the platform's names.
"""
